//! The section `bounds` of the settings file of a gateway node.

use cuminlb_types::prelude::*;

use crate::check::{Bounds, TableReader};

/// The time within which a change must be known everywhere, unless the settings state it.
const DEFAULT_PROPAGATION_MS: Millis = Millis(2_000);

/// Limits that all nodes enforce together, and the timing of the platform.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetBounds {
    /// The number of retries that each request adds to the retry budget.
    pub retry_ratio: Ratio,
    /// The number of retries that are allowed in each window in addition to that.
    pub retry_extra: f64,
    /// The window of the retry budget.
    pub retry_window_ms: Millis,
    /// The time after which a head stops waiting for a lost member.
    pub stall_ms: Millis,
    /// The time from the stop signal until the process is killed.
    pub grace_ms: Millis,
    /// The period at which an instance writes its entry.
    pub heartbeat_ms: Millis,
    /// The time within which a change of the desired state or of an instance must be known
    /// everywhere.
    pub propagation_ms: Millis,
    /// The memory limit of the process, in megabytes.
    pub memory_mb: u64,
}

impl FleetBounds {
    pub(crate) fn read(reader: &mut TableReader<'_>) -> Self {
        let time_bounds = Bounds {
            min: Millis(100),
            max: Millis(120_000),
        };
        Self {
            retry_ratio: reader.optional("retry_ratio").unwrap_or(Ratio(0.2)),
            retry_extra: reader.optional("retry_extra").unwrap_or(50.0),
            retry_window_ms: reader.bounded("retry_window", Millis(10_000), time_bounds),
            stall_ms: reader.bounded("stall", Millis(6_000), time_bounds),
            grace_ms: reader.bounded("grace", Millis(8_000), time_bounds),
            heartbeat_ms: reader.bounded("heartbeat", Millis(1_200), time_bounds),
            propagation_ms: reader
                .bounded("drain_notice", DEFAULT_PROPAGATION_MS, time_bounds)
                .min(reader.bounded("catalog_notice", DEFAULT_PROPAGATION_MS, time_bounds)),
            memory_mb: reader.optional("memory_mb").unwrap_or(256),
        }
    }
}
