//! The section `limits` of the settings file.

use cuminlb_types::prelude::*;

use crate::check::{Bounds, TableReader};

/// Limits on the requests of callers and on the time that a request may take.
#[derive(Clone, Debug)]
pub struct LimitSettings {
    /// The maximum length of the body of a request.
    pub max_body_bytes: ByteCount,
    /// The timeout for receiving a request from a caller.
    pub receive_timeout_ms: Millis,
    /// The maximum time that a request waits for a slot.
    pub max_queue_wait_ms: Millis,
    /// The maximum number of requests of all teams that wait at the same time.
    pub max_queued: SlotCount,
    /// The maximum time that a request may take from end to end.
    pub request_timeout_ms: Millis,
    /// The time without data after which a stream is considered dead.
    pub stream_idle_ms: Millis,
    /// The maximum time that a graceful shutdown waits for the requests in flight.
    pub drain_timeout_ms: Millis,
}

impl LimitSettings {
    pub(crate) fn read(reader: &mut TableReader<'_>) -> Self {
        let short_bounds = Bounds {
            min: Millis(50),
            max: Millis(120_000),
        };
        let long_bounds = Bounds {
            min: Millis(1_000),
            max: Millis(3_600_000),
        };
        Self {
            max_body_bytes: reader.bounded(
                "max_body_bytes",
                ByteCount(1 << 20),
                Bounds {
                    min: ByteCount(1 << 10),
                    max: ByteCount(64 << 20),
                },
            ),
            receive_timeout_ms: reader.bounded("receive_timeout", Millis(10_000), short_bounds),
            max_queue_wait_ms: reader.bounded("max_queue_wait", Millis(2_000), short_bounds),
            max_queued: reader.bounded(
                "max_queued",
                SlotCount(1_024),
                Bounds {
                    min: SlotCount(1),
                    max: SlotCount(100_000),
                },
            ),
            request_timeout_ms: reader.bounded("request_timeout", Millis(120_000), long_bounds),
            stream_idle_ms: reader.bounded("stream_idle", Millis(5_000), short_bounds),
            drain_timeout_ms: reader.bounded("drain_timeout", Millis(120_000), long_bounds),
        }
    }
}
