//! [`EngineSpec`].

use cuminlb_types::prelude::*;

use crate::ModelShape;

/// How the engines of a service serve models in groups.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// The models and the shape of their groups.
    pub models: Vec<ModelShape>,
    /// The requests that a group runs at once.
    pub slots: SlotCount,
    /// The tokens that a group keeps in memory.
    pub kv_capacity: TokenCount,
    /// The loads of weights that may run at once without slowing each other.
    pub loads_at_once: u32,
    /// The loads of weights that may start in one second.
    pub loads_per_s: f64,
    /// The time that one step of a group takes without any writer.
    pub step_ms: f64,
    /// The time that each writer adds to a step.
    pub step_ms_per_writer: f64,
    /// The steps that an engine runs between two events.
    pub steps_per_pass: u32,
    /// The prompt tokens that a group reads in a second.
    pub read_per_s: f64,
}

impl EngineSpec {
    /// Returns the shape of a model's groups.
    pub fn model(&self, id: &ModelId) -> Option<&ModelShape> {
        self.models.iter().find(|model| model.id == *id)
    }
}
