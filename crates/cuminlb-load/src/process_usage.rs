//! CPU time and memory of a process, read from `/proc`.

use std::time::Duration;

use cuminlb_types::prelude::*;

/// The clock tick in which `/proc/PID/stat` counts CPU time.
const CLOCK_TICK: Duration = Duration::from_millis(10);

/// The size of the pages that `/proc/PID/statm` counts.
const PAGE_SIZE_BYTES: u64 = 4_096;

/// The CPU time and the memory of one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessUsage {
    /// The CPU time, user and system, that the process has used since its start.
    pub cpu_time: Duration,
    /// The resident set size.
    pub resident_bytes: ByteCount,
}

impl ProcessUsage {
    /// Reads the usage of a process; returns `None` if there is no such process.
    pub fn of(pid: u32) -> Option<Self> {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // The process name in parentheses may contain spaces, so count the fields after it.
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let user: u32 = fields.get(11)?.parse().ok()?;
        let system: u32 = fields.get(12)?.parse().ok()?;
        let statm = std::fs::read_to_string(format!("/proc/{pid}/statm")).ok()?;
        let pages: u64 = statm.split_whitespace().nth(1)?.parse().ok()?;
        Some(Self {
            cpu_time: CLOCK_TICK * (user + system),
            resident_bytes: ByteCount(pages * PAGE_SIZE_BYTES),
        })
    }
}
