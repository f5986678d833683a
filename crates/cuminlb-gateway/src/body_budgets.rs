//! The memory that this node holds for each kind of body, and for heads of requests.

use cuminlb_routing::{BodyBudget, HeadBudget};
use cuminlb_types::prelude::*;

/// The fraction of the process memory that requests of callers may hold.
const REQUESTS_DIVISOR: u64 = 3;

/// The fraction that responses of instances may hold.
const RESPONSES_DIVISOR: u64 = 4;

/// The fraction that requests may hold that this node forwards for others.
const FORWARDED_DIVISOR: u64 = 16;

/// The fraction that heads of callers' requests over 4 KiB may hold. At 112 MB that are 199 heads of
/// 24 KiB at once, since each counts twice.
const HEADS_DIVISOR: u64 = 12;

/// The fraction that the read buffers of connections may hold that have grown for long bodies. A buffer
/// stays as large as it has become until its connection ends.
const READ_BUFFERS_DIVISOR: u64 = 16;

/// The fraction of all responses that those of one instance may hold.
const INSTANCE_DIVISOR: u64 = 4;

/// The memory that the responses of one instance may hold at least: one of the greatest length.
const MIN_INSTANCE_BYTES: u64 = 8 << 20;

const BYTES_PER_MB: u64 = 1 << 20;

/// The memory that this node holds for each kind of body, and for heads of requests.
///
/// Callers that send long bodies, instances that respond without end, and nodes that have lost their
/// links don't use up what the others need.
#[derive(Clone, Debug)]
pub(crate) struct BodyBudgets {
    /// For the requests of callers.
    pub(crate) requests: BodyBudget,
    /// For the requests that this node forwards for others.
    pub(crate) forwarded: BodyBudget,
    /// For the heads of all requests of callers, the load balancer and readers of the metrics.
    pub(crate) heads: HeadBudget,
    /// For the read buffers of these connections.
    pub(crate) read_buffers: BodyBudget,
    responses: BodyBudget,
    instance_size: ByteCount,
}

impl BodyBudgets {
    /// Creates the budgets of a process that has `memory_mb` of memory.
    pub(crate) fn new(memory_mb: u64) -> Self {
        let memory_bytes = memory_mb.max(1).saturating_mul(BYTES_PER_MB);
        let part = |divisor: u64| BodyBudget::new(ByteCount(memory_bytes / divisor));
        let instance_bytes = memory_bytes / RESPONSES_DIVISOR / INSTANCE_DIVISOR;
        Self {
            requests: part(REQUESTS_DIVISOR),
            forwarded: part(FORWARDED_DIVISOR),
            heads: HeadBudget::new(ByteCount(memory_bytes / HEADS_DIVISOR)),
            read_buffers: part(READ_BUFFERS_DIVISOR),
            responses: part(RESPONSES_DIVISOR),
            instance_size: ByteCount(instance_bytes.max(MIN_INSTANCE_BYTES)),
        }
    }

    /// Returns a budget for the responses of one instance.
    pub(crate) fn responses_of_instance(&self) -> BodyBudget {
        self.responses.part(self.instance_size)
    }
}
