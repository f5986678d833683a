//! The capacity and timing of a service's engines.

use cuminlb_types::prelude::*;

use crate::ModelShape;

/// The models, capacity and timing of a service whose engines serve in groups.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// The models and the shapes of their groups.
    pub models: Vec<ModelShape>,
    /// The number of requests that a group runs concurrently.
    pub slots: SlotCount,
    /// The number of tokens that fit into the key-value cache of a group.
    pub kv_capacity: TokenCount,
    /// The number of weight loads that can run concurrently at full speed.
    pub max_concurrent_loads: u32,
    /// The number of weight loads that may start per second.
    pub loads_per_s: f64,
    /// The duration of one step of a group without any active sequence, in milliseconds.
    pub step_ms: f64,
    /// The time that each active sequence adds to a step, in milliseconds.
    pub step_ms_per_sequence: f64,
    /// The number of steps that an engine runs between two events of a stream.
    pub steps_per_event: u32,
    /// The number of prompt tokens that a group processes per second.
    pub prefill_tokens_per_s: f64,
}

impl EngineSpec {
    /// Returns the shape of a model's groups, or `None` for an unknown model.
    pub fn model(&self, id: &ModelId) -> Option<&ModelShape> {
        self.models.iter().find(|model| model.id == *id)
    }
}
