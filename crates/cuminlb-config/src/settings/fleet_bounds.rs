//! [`FleetBounds`].

use cuminlb_types::prelude::*;

use crate::check::{Bounds, TableReader};

/// Bounds that all nodes keep together, and times of the platform.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetBounds {
    /// The repeats that are allowed for each request.
    pub retry_ratio: Ratio,
    /// The repeats that are allowed in a window beside that.
    pub retry_extra: f64,
    /// The window of the budget of repeats.
    pub retry_window_ms: Millis,
    /// The time after which a head that waits for a lost member gives up.
    pub stall_ms: Millis,
    /// The time from the signal to stop until the process is killed.
    pub grace_ms: Millis,
    /// How often an instance writes its entry.
    pub heartbeat_ms: Millis,
    /// The memory that the process may use.
    pub memory_mb: u64,
}

impl FleetBounds {
    pub(crate) fn read(reader: &mut TableReader<'_>) -> Self {
        let time = Bounds {
            min: Millis(100),
            max: Millis(120_000),
        };
        Self {
            retry_ratio: reader.optional("retry_ratio").unwrap_or(Ratio(0.2)),
            retry_extra: reader.optional("retry_extra").unwrap_or(50.0),
            retry_window_ms: reader.bounded("retry_window", Millis(10_000), time),
            stall_ms: reader.bounded("stall", Millis(6_000), time),
            grace_ms: reader.bounded("grace", Millis(8_000), time),
            heartbeat_ms: reader.bounded("heartbeat", Millis(1_200), time),
            memory_mb: reader.optional("memory_mb").unwrap_or(256),
        }
    }
}
