//! Prepares unused instances for the groups that may need them.

use std::collections::BTreeMap;

use cuminlb_catalog::{InstanceEntry, ModelShape};
use cuminlb_types::prelude::*;

use super::{FreeInstances, Plan};
use crate::AssemblyStep;

/// How much each spare of a model lessens the need for another one.
const SPARE_WEIGHT: f64 = 2.0;

impl<'a> Plan<'_, 'a> {
    /// Loads weights onto unused instances, so that a later group forms sooner: in each part of
    /// the fabric those of the model whose groups there have most members for each spare.
    pub(super) fn stage_weights(&mut self, free: &FreeInstances<'a>) {
        let engine = self.situation.engine;
        for (domain, instances) in free {
            let mut spares: BTreeMap<&ModelId, usize> = BTreeMap::new();
            for model in instances.iter().flat_map(|entry| &entry.staged) {
                *spares.entry(model).or_default() += 1;
            }
            let staging = &self.situation.staging;
            for model in instances.iter().filter_map(|entry| staging.get(&entry.id)) {
                *spares.entry(model).or_default() += 1;
            }
            let is_bare = |entry: &&&InstanceEntry| {
                entry.staged.is_empty() && !staging.contains_key(&entry.id)
            };
            for entry in instances.iter().filter(is_bare) {
                if self.situation.is_busy && self.loads_running >= self.most_loads() {
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
                self.loads_running += 1;
                self.steps.push(AssemblyStep::Stage {
                    instance: entry.id.clone(),
                    model: model.id.clone(),
                });
            }
        }
    }

    /// Lets spares that hold weights join by themselves, so that they can help out at once.
    pub(super) fn warm_spares(&mut self, free: &FreeInstances<'a>) {
        let last_models = self.situation.last_models;
        let is_warm = |id: &InstanceId| last_models.contains_key(id);
        for entry in free.values().flatten().filter(|entry| !is_warm(&entry.id)) {
            if let Some(model) = entry.staged.last() {
                self.steps.push(AssemblyStep::Warm {
                    instance: entry.id.clone(),
                    model: model.clone(),
                });
            }
        }
    }
}
