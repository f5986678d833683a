//! [`ProcessUsage`].

use std::time::Duration;

use cuminlb_types::prelude::*;

/// The length of a clock tick of `/proc/PID/stat`.
const TICK: Duration = Duration::from_millis(10);

/// The size of a page of `/proc/PID/statm`.
const PAGE_LEN_BYTES: u64 = 4_096;

/// The processor time and the memory of one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessUsage {
    /// The processor time that the process has used since its start.
    pub processor: Duration,
    /// The memory that is resident now.
    pub resident_bytes: ByteCount,
}

impl ProcessUsage {
    /// Reads the usage of a process; `None` where there is no such process.
    pub fn of(process: u32) -> Option<Self> {
        let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
        // The name in parentheses may hold spaces, so the fields are counted after it.
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let user: u32 = fields.get(11)?.parse().ok()?;
        let system: u32 = fields.get(12)?.parse().ok()?;
        let statm = std::fs::read_to_string(format!("/proc/{process}/statm")).ok()?;
        let pages: u64 = statm.split_whitespace().nth(1)?.parse().ok()?;
        Some(Self {
            processor: TICK * (user + system),
            resident_bytes: ByteCount(pages * PAGE_LEN_BYTES),
        })
    }
}
