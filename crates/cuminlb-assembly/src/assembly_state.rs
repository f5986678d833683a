//! The leader's state between two plans: pending orders, probe results and recent groups.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use cuminlb_catalog::{InstanceEntry, Seat};
use cuminlb_types::prelude::*;
use tokio::time::Instant;

use crate::{
    AssemblyView, FormingGroup, HeadOpenings, InstanceHealth, JoinHolds, OutstandingOrders,
    group_model,
};

/// What a leader tracks: its orders until their effect is visible, and the health of instances.
///
/// The state belongs to one leader; a new leader starts with an empty one.
#[derive(Debug)]
pub(crate) struct AssemblyState {
    /// Groups that are being formed, with the deadline of each.
    pub(crate) forming: Vec<(FormingGroup, Instant)>,
    /// Instances with an order whose effect is not visible yet: the seat when the order was sent,
    /// and the time until which the effect is awaited.
    awaiting_effect: BTreeMap<InstanceId, (Option<Seat>, Instant)>,
    /// Instances that load weights onto their host: the model, and the time until which the load
    /// is awaited.
    staging: BTreeMap<InstanceId, (ModelId, Instant)>,
    /// Instances that are slow, silent or ended; instances without a known fault have no entry.
    pub(crate) health: BTreeMap<InstanceId, InstanceHealth>,
    /// The heads that may be open.
    pub(crate) head_openings: HeadOpenings,
    /// The seats that unlisted instances have themselves reported.
    pub(crate) reported_seats: BTreeMap<InstanceId, Seat>,
    /// Orders to join that may still take effect.
    pub(crate) outstanding_orders: OutstandingOrders,
    /// The model of each instance's last group, and the incarnation that was its member.
    last_models: BTreeMap<InstanceId, (Incarnation, ModelId)>,
    /// The head of each group, and its incarnation when it was last seen as the head.
    pub(crate) heads: BTreeMap<(GroupId, Epoch), (InstanceId, Incarnation)>,
    /// Instances that are ordered to leave a group whose head does not respond.
    leaving_silent_head: BTreeSet<InstanceId>,
    /// When each instance was first seen.
    pub(crate) first_seen: BTreeMap<InstanceId, Instant>,
    /// Instances that may not join another group yet, as their last head may still be open.
    pub(crate) join_holds: JoinHolds,
}

impl AssemblyState {
    /// Creates an empty state for a leader that assigns epochs above `base_epoch`. Heads without
    /// members stop serving within `stall_timeout`.
    pub(crate) fn new(base_epoch: Epoch, stall_timeout: Duration, now: Instant) -> Self {
        Self {
            forming: Vec::new(),
            awaiting_effect: BTreeMap::new(),
            staging: BTreeMap::new(),
            health: BTreeMap::new(),
            first_seen: BTreeMap::new(),
            heads: BTreeMap::new(),
            leaving_silent_head: BTreeSet::new(),
            head_openings: HeadOpenings::new(base_epoch, now),
            reported_seats: BTreeMap::new(),
            outstanding_orders: OutstandingOrders::new(base_epoch, now),
            last_models: BTreeMap::new(),
            join_holds: JoinHolds::new(stall_timeout),
        }
    }

    /// Records an order whose effect should be visible as a change of the instance's seat by
    /// `until`.
    pub(crate) fn record_order(&mut self, id: &InstanceId, seat: Option<Seat>, until: Instant) {
        self.awaiting_effect.insert(id.clone(), (seat, until));
    }

    /// Records that an instance is ordered to leave a group whose head does not respond; it is held
    /// from joining another group once it has left.
    pub(crate) fn hold_after_leaving(&mut self, id: &InstanceId) {
        self.leaving_silent_head.insert(id.clone());
    }

    /// Records that an instance has accepted the order to leave a group, and starts its hold if one
    /// is needed.
    pub(crate) fn handle_leave(
        &mut self,
        id: &InstanceId,
        group: &GroupId,
        epoch: Epoch,
        now: Instant,
    ) {
        let head = self.heads.get(&(group.clone(), epoch));
        if head.is_some_and(|(head, _)| head == id) {
            self.head_openings.record_leave(group, epoch);
        }
        if self.leaving_silent_head.remove(id) {
            self.join_holds.hold(id.clone(), now);
        }
    }

    /// Records the seat that an unlisted instance has reported, which may be the effect of an order.
    pub(crate) fn record_reported_seat(&mut self, id: &InstanceId, seat: Option<&Seat>) {
        let awaited = self.awaiting_effect.get(id);
        if awaited.is_some_and(|(ordered_at, _)| ordered_at.as_ref() != seat) {
            self.awaiting_effect.remove(id);
        }
        match seat {
            Some(seat) => self.reported_seats.insert(id.clone(), seat.clone()),
            None => self.reported_seats.remove(id),
        };
    }

    /// Replaces the deadline for the effect of an instance's pending order.
    pub(crate) fn set_effect_deadline(&mut self, id: &InstanceId, until: Instant) {
        if let Some((_, deadline)) = self.awaiting_effect.get_mut(id) {
            *deadline = until;
        }
    }

    /// Records that an instance loads the weights of a model.
    pub(crate) fn record_staging(&mut self, id: &InstanceId, model: &ModelId, until: Instant) {
        self.staging.insert(id.clone(), (model.clone(), until));
    }

    /// Records that an instance loads no weights.
    pub(crate) fn clear_staging(&mut self, id: &InstanceId) {
        self.staging.remove(id);
    }

    /// Updates the heads, the times of first sight and the last models from the current view.
    pub(crate) fn record_view(&mut self, now: Instant, view: &AssemblyView<'_>) {
        let instances = view.instances;
        for group in view.groups {
            let head = group.head().and_then(|(head, _)| instances.get(head));
            if let Some(head) = head {
                let key = (group.group.clone(), group.epoch);
                self.heads.insert(key, (head.id.clone(), head.incarnation));
                self.head_openings
                    .record_entry(&group.group, group.epoch, head);
            }
        }
        let is_present = |key: &(GroupId, Epoch)| {
            let mut groups = view.groups.iter();
            groups.any(|group| group.group == key.0 && group.epoch == key.1)
        };
        self.heads.retain(|key, _| is_present(key));
        self.head_openings.retain(is_present);
        self.reported_seats
            .retain(|id, _| view.unlisted.contains(id));
        self.first_seen.retain(|id, _| instances.contains_key(id));
        let is_same_incarnation = |id: &InstanceId, incarnation: Incarnation| {
            instances
                .get(id)
                .is_some_and(|entry| entry.incarnation == incarnation)
        };
        self.last_models
            .retain(|id, (incarnation, _)| is_same_incarnation(id, *incarnation));
        for (id, entry) in instances {
            self.first_seen.entry(id.clone()).or_insert(now);
            let model = entry
                .seat
                .as_ref()
                .and_then(|seat| group_model(&seat.group));
            if let Some(model) = model {
                self.last_models
                    .insert(id.clone(), (entry.incarnation, model));
            }
        }
    }

    /// Returns the model of each instance's last group.
    pub(crate) fn last_models(&self) -> BTreeMap<InstanceId, ModelId> {
        let last_models = self.last_models.iter();
        last_models
            .map(|(id, (_, model))| (id.clone(), model.clone()))
            .collect()
    }

    /// Removes orders and loads whose effect is visible or whose deadline has passed, and expired
    /// holds and outstanding orders.
    pub(crate) fn remove_expired(
        &mut self,
        now: Instant,
        instances: &BTreeMap<InstanceId, Arc<InstanceEntry>>,
    ) {
        self.awaiting_effect.retain(|id, (seat, until)| {
            now < *until && instances.get(id).is_some_and(|entry| entry.seat == *seat)
        });
        self.staging.retain(|id, (model, until)| {
            let entry = instances.get(id);
            now < *until && entry.is_some_and(|entry| !entry.has_staged(model))
        });
        self.join_holds.remove_expired(now);
        self.outstanding_orders.remove_expired(now);
    }

    /// Returns the instances with an order whose effect is not visible yet.
    pub(crate) fn awaiting_effect(&self) -> BTreeSet<InstanceId> {
        self.awaiting_effect.keys().cloned().collect()
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

    /// Returns the number of weight loads in flight.
    pub(crate) fn loads_in_flight(&self) -> usize {
        let forming: usize = self.forming.iter().map(|(group, _)| group.loads).sum();
        forming + self.staging.len()
    }
}
