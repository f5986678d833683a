//! [`AssemblyMemory`].

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cuminlb_catalog::{InstanceEntry, Seat};
use cuminlb_types::prelude::*;
use tokio::time::Instant;

use crate::{AssemblyView, FormingGroup, HeadHolds, InstanceHealth, LateOrders, group_model};

/// What a leader remembers of its orders until their effect shows, and of silent instances.
#[derive(Debug)]
pub(crate) struct AssemblyMemory {
    /// Groups that are being formed, and when each is given up.
    pub(crate) forming: Vec<(FormingGroup, Instant)>,
    /// Instances with an order whose effect does not show yet: the seat that they had, and until
    /// when the effect is waited for.
    ordered: BTreeMap<InstanceId, (Option<Seat>, Instant)>,
    /// Instances that load weights onto their host, and until when that is waited for.
    staging: BTreeMap<InstanceId, (ModelId, Instant)>,
    /// Instances that answer nothing.
    pub(crate) health: BTreeMap<InstanceId, InstanceHealth>,
    /// Orders that may still take effect.
    pub(crate) late_orders: LateOrders,
    /// The model of each instance's last group, and the life in which that was.
    last_models: BTreeMap<InstanceId, (Incarnation, ModelId)>,
    /// The head of each group, and the life that it was in when it was seen as such.
    pub(crate) heads: BTreeMap<(GroupId, Epoch), (InstanceId, Incarnation)>,
    /// Instances that are told to leave a group whose head answers nothing.
    leaving_silent_head: BTreeSet<InstanceId>,
    /// When each instance was first seen.
    pub(crate) first_seen: BTreeMap<InstanceId, Instant>,
    /// Instances whose last head may still stand open.
    pub(crate) holds: HeadHolds,
}

impl AssemblyMemory {
    /// Starts without memories, with epochs above `base`; heads without members give up within
    /// `give_up`.
    pub(crate) fn new(base: Epoch, give_up: Duration, now: Instant) -> Self {
        Self {
            forming: Vec::new(),
            ordered: BTreeMap::new(),
            staging: BTreeMap::new(),
            health: BTreeMap::new(),
            first_seen: BTreeMap::new(),
            heads: BTreeMap::new(),
            leaving_silent_head: BTreeSet::new(),
            late_orders: LateOrders::new(base, now),
            last_models: BTreeMap::new(),
            holds: HeadHolds::new(give_up),
        }
    }

    /// Notes that an instance has an order whose effect will show in its seat within a time.
    pub(crate) fn note_order(&mut self, id: &InstanceId, seat: Option<Seat>, until: Instant) {
        self.ordered.insert(id.clone(), (seat, until));
    }

    /// Notes that an instance is told to leave a group whose head answers nothing.
    pub(crate) fn hold_once_left(&mut self, id: &InstanceId) {
        self.leaving_silent_head.insert(id.clone());
    }

    /// Notes that an instance has left its group.
    pub(crate) fn note_left(&mut self, id: &InstanceId, now: Instant) {
        if self.leaving_silent_head.remove(id) {
            self.holds.hold(id.clone(), now);
        }
    }

    /// Waits for the effect of an instance's order until another time.
    pub(crate) fn wait_until(&mut self, id: &InstanceId, until: Instant) {
        if let Some((_, waited_until)) = self.ordered.get_mut(id) {
            *waited_until = until;
        }
    }

    /// Notes that an instance loads weights.
    pub(crate) fn note_staging(&mut self, id: &InstanceId, model: &ModelId, until: Instant) {
        self.staging.insert(id.clone(), (model.clone(), until));
    }

    /// Notes that an instance does not load weights.
    pub(crate) fn clear_staging(&mut self, id: &InstanceId) {
        self.staging.remove(id);
    }

    /// Notes the instances that are there.
    pub(crate) fn note_seen(&mut self, now: Instant, view: &AssemblyView<'_>) {
        let instances = view.instances;
        for group in view.groups {
            let head = group.head().and_then(|(head, _)| instances.get(head));
            if let Some(head) = head {
                let place = (group.group.clone(), group.epoch);
                self.heads.insert(place, (head.id.clone(), head.life));
            }
        }
        let is_seen = |place: &(GroupId, Epoch)| {
            let mut groups = view.groups.iter();
            groups.any(|group| group.group == place.0 && group.epoch == place.1)
        };
        self.heads.retain(|place, _| is_seen(place));
        self.first_seen.retain(|id, _| instances.contains_key(id));
        let is_same_life = |id: &InstanceId, life: Incarnation| {
            instances.get(id).is_some_and(|entry| entry.life == life)
        };
        self.last_models
            .retain(|id, (life, _)| is_same_life(id, *life));
        for (id, entry) in instances {
            self.first_seen.entry(id.clone()).or_insert(now);
            let model = entry
                .seat
                .as_ref()
                .and_then(|seat| group_model(&seat.group));
            if let Some(model) = model {
                self.last_models.insert(id.clone(), (entry.life, model));
            }
        }
    }

    /// Returns the model of each instance's last group.
    pub(crate) fn last_models(&self) -> BTreeMap<InstanceId, ModelId> {
        let last = self.last_models.iter();
        last.map(|(id, (_, model))| (id.clone(), model.clone()))
            .collect()
    }

    /// Drops what is over.
    pub(crate) fn forget_past(
        &mut self,
        now: Instant,
        instances: &BTreeMap<InstanceId, InstanceEntry>,
    ) {
        self.ordered.retain(|id, (seat, until)| {
            now < *until && instances.get(id).is_some_and(|entry| entry.seat == *seat)
        });
        self.staging.retain(|id, (model, until)| {
            let entry = instances.get(id);
            now < *until && entry.is_some_and(|entry| !entry.has_staged(model))
        });
        self.holds.forget_past(now);
        self.late_orders.forget_past(now);
    }

    /// Returns the instances with an order whose effect does not show yet.
    pub(crate) fn ordered(&self) -> BTreeSet<InstanceId> {
        self.ordered.keys().cloned().collect()
    }

    /// Returns the instances that load weights onto their host.
    pub(crate) fn staging(&self) -> BTreeMap<InstanceId, ModelId> {
        let staging = self.staging.iter();
        staging
            .map(|(id, (model, _))| (id.clone(), model.clone()))
            .collect()
    }

    /// Returns the groups that are being formed.
    pub(crate) fn forming_groups(&self) -> Vec<FormingGroup> {
        self.forming
            .iter()
            .map(|(group, _)| group.clone())
            .collect()
    }

    /// Returns the loads of weights that are under way.
    pub(crate) fn loads_running(&self) -> usize {
        let forming: usize = self.forming.iter().map(|(group, _)| group.loads).sum();
        forming + self.staging.len()
    }
}
