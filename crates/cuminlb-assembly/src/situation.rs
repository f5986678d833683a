//! [`Situation`].

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cuminlb_catalog::{EngineSpec, InstanceEntry};
use cuminlb_types::prelude::*;
use tokio::time::Instant;

use crate::{FormingGroup, GroupView, HeadHolds, InstanceHealth, LateOrders};

/// The time in which instances that start together show up.
const SETTLING: Duration = Duration::from_millis(1_600);

/// What a plan is made from.
#[derive(Clone, Copy, Debug)]
pub struct Situation<'a> {
    /// How the service's engines work.
    pub engine: &'a EngineSpec,
    /// The instances of the service.
    pub instances: &'a BTreeMap<InstanceId, InstanceEntry>,
    /// Their groups.
    pub groups: &'a [GroupView],
    /// Groups that the leader is forming.
    pub forming: &'a [FormingGroup],
    /// What is held of them where it is not [`InstanceHealth::Fine`].
    pub health: &'a BTreeMap<InstanceId, InstanceHealth>,
    /// Instances that have been given an order whose effect does not show yet.
    pub ordered: &'a BTreeSet<InstanceId>,
    /// Instances that load the weights of a model onto their host.
    pub staging: &'a BTreeMap<InstanceId, ModelId>,
    /// Instances whose last head may still stand open.
    pub holds: &'a HeadHolds,
    /// Instances whose entries have vanished though they may live.
    pub unlisted: &'a BTreeSet<InstanceId>,
    /// Zones to which nothing may be sent.
    pub zones_out: &'a BTreeSet<ZoneId>,
    /// Orders that were given earlier and may still take effect.
    pub late_orders: &'a LateOrders,
    /// The model of the last group of instances that have left theirs.
    pub last_models: &'a BTreeMap<InstanceId, ModelId>,
    /// The head of each group that was seen with one, and the life that it was in.
    pub heads: &'a BTreeMap<(GroupId, Epoch), (InstanceId, Incarnation)>,
    /// When each instance was first seen.
    pub first_seen: &'a BTreeMap<InstanceId, Instant>,
    /// Whether callers have come; until then loads are fast and slow nobody down.
    pub is_busy: bool,
    /// The loads of weights that are under way.
    pub loads_running: usize,
}

impl Situation<'_> {
    /// Tells whether an instance has an entry and nothing speaks against it.
    pub fn is_fine(&self, id: &InstanceId) -> bool {
        self.instances.contains_key(id) && !self.health.contains_key(id)
    }

    /// Tells whether an instance answers, but is so slow that it holds its group up.
    pub fn is_slow(&self, id: &InstanceId) -> bool {
        self.health.get(id) == Some(&InstanceHealth::Slow)
    }

    /// Tells whether an instance has an entry and is neither silent nor known to have ended.
    pub fn is_alive(&self, id: &InstanceId) -> bool {
        self.is_fine(id) || self.instances.contains_key(id) && self.is_slow(id)
    }

    /// Tells whether the head of a group is known to have another place or none by now.
    pub fn has_head_moved(&self, group: &GroupView) -> bool {
        let place = (group.group.clone(), group.epoch);
        let Some((head, life)) = self.heads.get(&place) else {
            return false;
        };
        let Some(entry) = self.instances.get(head) else {
            return false;
        };
        let seat = entry.seat.as_ref();
        let is_there = seat.is_some_and(|seat| (&seat.group, seat.epoch) == (&place.0, place.1));
        entry.life != *life || !is_there && self.is_fine(head) && !self.unlisted.contains(head)
    }

    /// Tells whether an instance has shown up just now, so that others may follow it.
    pub fn is_new(&self, id: &InstanceId, now: Instant) -> bool {
        let first_seen = self.first_seen.get(id);
        self.is_busy && first_seen.is_some_and(|&at| now.duration_since(at) < SETTLING)
    }

    /// Tells whether an instance may become a member of a new group, as far as it goes itself.
    pub fn is_usable(&self, entry: &InstanceEntry) -> bool {
        !entry.is_leaving
            && !self.unlisted.contains(&entry.id)
            && self.is_fine(&entry.id)
            && !self.zones_out.contains(&entry.zone)
            && !self.ordered.contains(&entry.id)
    }
}
