//! Computes how many groups each model should have.

use std::collections::BTreeMap;

use cuminlb_catalog::EngineSpec;
use cuminlb_types::prelude::*;

/// The number of groups that each model should have.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupTargets {
    counts: BTreeMap<ModelId, usize>,
}

impl GroupTargets {
    /// Computes the targets from the number of usable instances of each fabric domain. Each model gets
    /// at least one group.
    pub fn new(
        engine: &EngineSpec,
        spares: SparePolicy,
        domain_sizes: impl Iterator<Item = usize>,
    ) -> Self {
        let total_share: f64 = engine.models.iter().map(|model| model.share).sum();
        let serving: f64 = domain_sizes.map(|size| spares.serving(size)).sum();
        let counts = engine.models.iter().map(|model| {
            let quota = serving * model.share / total_share.max(f64::EPSILON);
            let count = (quota / f64::from(model.size.get())).round() as usize;
            (model.id.clone(), count.max(1))
        });
        Self {
            counts: counts.collect(),
        }
    }

    /// Returns the target number of groups of a model, or 0 for an unknown model.
    pub fn get(&self, model: &ModelId) -> usize {
        self.counts.get(model).copied().unwrap_or(0)
    }
}
