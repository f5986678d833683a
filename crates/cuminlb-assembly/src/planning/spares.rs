//! Prepares unused instances, so that they can join a group faster.

use std::collections::BTreeMap;

use cuminlb_catalog::{InstanceEntry, ModelShape};
use cuminlb_types::prelude::*;

use super::{FreeInstances, PlanBuilder};
use crate::PlanStep;

/// How strongly each spare of a model reduces the need for another one: the need is the number of
/// members divided by `1 + SPARE_WEIGHT * spares`.
const SPARE_WEIGHT: f64 = 2.0;

impl<'a> PlanBuilder<'_, 'a> {
    /// Loads weights onto unused instances, so that later groups form faster. In each fabric domain
    /// the model is chosen whose groups have the most members per spare.
    pub(super) fn stage_weights(&mut self, free: &FreeInstances<'a>) {
        let engine = self.input.engine;
        for (domain, instances) in free {
            let mut spares: BTreeMap<&ModelId, usize> = BTreeMap::new();
            for model in instances.iter().flat_map(|entry| &entry.staged) {
                *spares.entry(model).or_default() += 1;
            }
            let staging = &self.input.staging;
            for model in instances.iter().filter_map(|entry| staging.get(&entry.id)) {
                *spares.entry(model).or_default() += 1;
            }
            let has_no_weights = |entry: &&&InstanceEntry| {
                entry.staged.is_empty() && !staging.contains_key(&entry.id)
            };
            for entry in instances.iter().filter(has_no_weights) {
                if self.input.is_busy && self.loads_in_flight >= self.max_loads() {
                    return;
                }
                let need = |model: &ModelShape| {
                    let members = self.members_in(domain.as_ref(), &model.id);
                    members as f64
                        / (1.0 + SPARE_WEIGHT * spares.get(&model.id).copied().unwrap_or(0) as f64)
                };
                let neediest = engine.models.iter().max_by(|a, b| {
                    need(a)
                        .total_cmp(&need(b))
                        .then(a.share.total_cmp(&b.share))
                });
                let Some(model) = neediest else { return };
                *spares.entry(&model.id).or_default() += 1;
                self.loads_in_flight += 1;
                self.steps.push(PlanStep::Stage {
                    instance: entry.id.clone(),
                    model: model.id.clone(),
                });
            }
        }
    }

    /// Lets spares that have weights join single-member groups, so that their next join is fast.
    pub(super) fn warm_spares(&mut self, free: &FreeInstances<'a>) {
        let last_models = self.input.last_models;
        let is_warm = |id: &InstanceId| last_models.contains_key(id);
        for entry in free.values().flatten().filter(|entry| !is_warm(&entry.id)) {
            if let Some(model) = entry.staged.last() {
                self.steps.push(PlanStep::Warm {
                    instance: entry.id.clone(),
                    model: model.clone(),
                });
            }
        }
    }
}
