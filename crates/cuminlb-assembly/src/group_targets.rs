//! [`GroupTargets`].

use std::collections::BTreeMap;

use cuminlb_catalog::EngineSpec;
use cuminlb_types::prelude::*;

/// The part of all instances that serves; the rest repairs groups.
const SERVING_PART: f64 = 0.75;

/// How many groups each model should have.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupTargets {
    counts: BTreeMap<ModelId, usize>,
}

impl GroupTargets {
    /// Works out the targets for a number of instances; each model has one group at least.
    pub fn new(engine: &EngineSpec, instances: usize) -> Self {
        let total_share: f64 = engine.models.iter().map(|model| model.share).sum();
        let counts = engine.models.iter().map(|model| {
            let part =
                instances as f64 * SERVING_PART * model.share / total_share.max(f64::EPSILON);
            let count = (part / f64::from(model.size.get())).round() as usize;
            (model.id.clone(), count.max(1))
        });
        Self {
            counts: counts.collect(),
        }
    }

    /// Returns the number of groups that a model should have.
    pub fn get(&self, model: &ModelId) -> usize {
        self.counts.get(model).copied().unwrap_or(0)
    }
}
