//! The input of [`plan_assembly`](crate::plan_assembly), with the predicates that a plan needs.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use cuminlb_catalog::{EngineSpec, InstanceEntry, Seat, SeatState};
use cuminlb_types::prelude::*;
use tokio::time::Instant;

use crate::{FormingGroup, GroupView, HeadOpenings, InstanceHealth, JoinHolds, OutstandingOrders};

/// The time within which instances that are started together register.
const REGISTRATION_WINDOW: Duration = Duration::from_millis(1_600);

/// Everything that a plan for one service is computed from.
#[derive(Clone, Copy, Debug)]
pub struct PlanInput<'a> {
    /// The capacity and timing of the service's engines.
    pub engine: &'a EngineSpec,
    /// How many instances of a fabric domain are kept as spares.
    pub spares: SparePolicy,
    /// The instances of the service.
    pub instances: &'a BTreeMap<InstanceId, Arc<InstanceEntry>>,
    /// The groups of these instances.
    pub groups: &'a [GroupView],
    /// Groups that the leader is forming.
    pub forming: &'a [FormingGroup],
    /// The health of the instances that are not [`InstanceHealth::Fine`].
    pub health: &'a BTreeMap<InstanceId, InstanceHealth>,
    /// Instances with an order whose effect is not visible yet.
    pub awaiting_effect: &'a BTreeSet<InstanceId>,
    /// Instances that load the weights of a model onto their host.
    pub staging: &'a BTreeMap<InstanceId, ModelId>,
    /// Instances that may not join another group yet, as their last head may still be open.
    pub join_holds: &'a JoinHolds,
    /// Instances whose entries were removed although their processes may still run.
    pub unlisted: &'a BTreeSet<InstanceId>,
    /// Zones that must receive no requests.
    pub zones_out: &'a BTreeSet<ZoneId>,
    /// The heads that may be open, whatever their entries say.
    pub head_openings: &'a HeadOpenings,
    /// The seats that unlisted instances have themselves reported.
    pub reported_seats: &'a BTreeMap<InstanceId, Seat>,
    /// Orders sent earlier that may still take effect.
    pub outstanding_orders: &'a OutstandingOrders,
    /// The model of each instance's last group.
    pub last_models: &'a BTreeMap<InstanceId, ModelId>,
    /// The last known head of each group, and its incarnation at that time.
    pub heads: &'a BTreeMap<(GroupId, Epoch), (InstanceId, Incarnation)>,
    /// When each instance was first seen.
    pub first_seen: &'a BTreeMap<InstanceId, Instant>,
    /// Whether the service has received requests from callers. Until then, weight loads are fast
    /// and slow down no callers.
    pub is_busy: bool,
    /// The number of weight loads in flight.
    pub loads_in_flight: usize,
}

impl PlanInput<'_> {
    /// Returns whether an instance has an entry and no known fault.
    pub fn is_healthy(&self, id: &InstanceId) -> bool {
        self.instances.contains_key(id) && !self.health.contains_key(id)
    }

    /// Returns whether an instance responds, but is slow enough to slow down its whole group.
    pub fn is_slow(&self, id: &InstanceId) -> bool {
        self.health.get(id) == Some(&InstanceHealth::Slow)
    }

    /// Returns whether an instance has an entry and is neither silent nor known to have ended.
    pub fn is_alive(&self, id: &InstanceId) -> bool {
        self.is_healthy(id) || self.instances.contains_key(id) && self.is_slow(id)
    }

    /// Returns whether the last known head of a group has restarted or is known to have another
    /// seat or none now.
    pub fn has_head_left(&self, group: &GroupView) -> bool {
        let key = (group.group.clone(), group.epoch);
        let Some((head, incarnation)) = self.heads.get(&key) else {
            return false;
        };
        let Some(entry) = self.instances.get(head) else {
            return false;
        };
        let seat = entry.seat.as_ref();
        let has_seat = seat.is_some_and(|seat| (&seat.group, seat.epoch) == (&key.0, key.1));
        entry.incarnation != *incarnation
            || !has_seat && self.is_healthy(head) && !self.unlisted.contains(head)
    }

    /// Returns the state of the head of a group, or `None` if it is not known: the entry of an
    /// unlisted head is no longer updated, and it has not been probed yet.
    pub fn head_state(&self, group: &GroupView) -> Option<SeatState> {
        let (head, state) = group.head()?;
        if !self.unlisted.contains(head) {
            return Some(*state);
        }
        let seat = self.reported_seats.get(head)?;
        (seat.group == group.group && seat.epoch == group.epoch).then_some(seat.state)
    }

    /// Returns whether an instance has registered so recently that others may still follow it.
    pub fn is_newly_registered(&self, id: &InstanceId, now: Instant) -> bool {
        let first_seen = self.first_seen.get(id);
        self.is_busy && first_seen.is_some_and(|&at| now.duration_since(at) < REGISTRATION_WINDOW)
    }

    /// Returns whether the instance's own state allows it to become a member of a new group.
    pub fn is_eligible(&self, entry: &InstanceEntry) -> bool {
        !entry.is_leaving
            && !self.unlisted.contains(&entry.id)
            && self.is_healthy(&entry.id)
            && !self.zones_out.contains(&entry.zone)
            && !self.awaiting_effect.contains(&entry.id)
    }
}
