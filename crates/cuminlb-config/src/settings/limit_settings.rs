//! [`LimitSettings`].

use cuminlb_types::prelude::*;

use crate::check::{Bounds, TableReader};

/// Bounds on what callers may send and how long a request may take.
#[derive(Clone, Debug)]
pub struct LimitSettings {
    /// The largest body of a request.
    pub max_body_bytes: ByteCount,
    /// The time that a caller has for sending its request.
    pub receive_timeout_ms: Millis,
    /// The time that a request may wait for a slot.
    pub max_queue_wait_ms: Millis,
    /// The number of requests of all teams that may wait at once.
    pub max_queued: SlotCount,
    /// The longest time that one request may take from end to end.
    pub request_timeout_ms: Millis,
    /// The time without a byte after which a stream counts as dead.
    pub stream_idle_ms: Millis,
    /// The time that a graceful shutdown waits for the requests in flight.
    pub drain_timeout_ms: Millis,
}

impl LimitSettings {
    pub(crate) fn read(reader: &mut TableReader<'_>) -> Self {
        let short = Bounds {
            min: Millis(50),
            max: Millis(120_000),
        };
        let long = Bounds {
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
            receive_timeout_ms: reader.bounded("receive_timeout", Millis(10_000), short),
            max_queue_wait_ms: reader.bounded("max_queue_wait", Millis(2_000), short),
            max_queued: reader.bounded(
                "max_queued",
                SlotCount(1_024),
                Bounds {
                    min: SlotCount(1),
                    max: SlotCount(100_000),
                },
            ),
            request_timeout_ms: reader.bounded("request_timeout", Millis(120_000), long),
            stream_idle_ms: reader.bounded("stream_idle", Millis(5_000), short),
            drain_timeout_ms: reader.bounded("drain_timeout", Millis(120_000), long),
        }
    }
}
