//! How much of the slots of groups is used, as far as this node knows.

use cuminlb_catalog::UpstreamService;
use cuminlb_routing::{LoadKey, SlotUsage};
use cuminlb_types::prelude::*;
use tokio::time::Instant;

use crate::gateway::Gateway;

/// The used fraction of a model's slots from which on they are short, so that nodes report their load
/// more often.
const SHORT_FROM: f64 = 0.5;

impl Gateway {
    /// Returns how much of the slots of a group is used; `None` if no other node has reported lately.
    pub(super) fn slot_usage(
        &self,
        head: &InstanceId,
        slots: SlotCount,
        now: Instant,
    ) -> Option<SlotUsage> {
        let load = self.loads.load(head);
        let others = self.load_board.others_in_flight(head, now)?;
        let yielding = LoadKey::Yielding(head.clone());
        let others_yielding = self.load_board.others_count(&yielding, now)?;
        Some(SlotUsage {
            in_flight: f64::from(load.in_flight()) + f64::from(others),
            yielding: f64::from(load.yielding()) + f64::from(others_yielding),
            slots: f64::from(slots.get()),
        })
    }

    /// Returns how much of the slots of each model of a service is used.
    fn model_usages(&self, service: &UpstreamService, now: Instant) -> Vec<(ModelId, SlotUsage)> {
        let Some(engine) = &service.engine else {
            return Vec::new();
        };
        let directory = self.knowledge.directory();
        let groups = directory.groups.get(&service.id);
        let groups = groups.map_or(&[][..], Vec::as_slice);
        let models = engine.models.iter().map(|model| {
            let mut usage = SlotUsage::default();
            let serving = groups
                .iter()
                .filter(|group| group.shape.id == model.id && group.is_serving());
            for (head, _) in serving.filter_map(|group| group.head()) {
                usage.add(self.slot_usage(head, engine.slots, now).unwrap_or_default());
            }
            (model.id.clone(), usage)
        });
        models.collect()
    }

    /// Updates the gauges of the used slots.
    pub(crate) fn update_slot_gauges(&self) {
        let Some(catalog) = self.knowledge.catalog() else {
            return;
        };
        for service in catalog.engine_services() {
            for (model, usage) in self.model_usages(service, Instant::now()) {
                let metrics = &self.metrics.admission;
                metrics.record_usage(&service.id, &model, &usage);
            }
        }
    }

    /// Returns whether the slots of a model are short.
    pub(super) fn is_short_of_slots(&self, now: Instant) -> bool {
        let Some(catalog) = self.knowledge.catalog() else {
            return false;
        };
        let mut usages = catalog
            .engine_services()
            .flat_map(|service| self.model_usages(service, now));
        usages.any(|(_, usage)| usage.used().get() >= SHORT_FROM)
    }
}
