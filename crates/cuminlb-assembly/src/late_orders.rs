//! [`LateOrders`].

use std::collections::BTreeMap;
use std::time::Duration;

use cuminlb_types::prelude::*;
use tokio::time::Instant;

/// The time within which an order that got no answer may still be carried out.
const LATEST: Duration = Duration::from_secs(13);

/// Orders that were given some time ago, by this leader or an earlier one, and may still take effect:
/// heads that begin to serve, and instances that join.
#[derive(Clone, Debug)]
pub struct LateOrders {
    /// All epochs up to this one are an earlier leader's.
    earlier: Epoch,
    /// Until when orders of earlier leaders may still be carried out.
    earlier_until: Instant,
    told: BTreeMap<(GroupId, Epoch), Told>,
    /// Instances that were told to join and have not answered: the epoch, and until when that may
    /// take effect.
    joins: BTreeMap<InstanceId, (Epoch, Instant)>,
}

/// The orders to open one group.
#[derive(Clone, Copy, Debug)]
struct Told {
    /// Those that got no answer yet.
    unanswered: u32,
    /// Until when one may take effect.
    until: Instant,
}

impl LateOrders {
    /// Starts to lead with epochs above `base`.
    pub fn new(base: Epoch, now: Instant) -> Self {
        Self {
            earlier: base,
            earlier_until: now + LATEST,
            told: BTreeMap::new(),
            joins: BTreeMap::new(),
        }
    }

    /// Notes that a group is told to open.
    pub fn note_open(&mut self, group: GroupId, epoch: Epoch, now: Instant) {
        let until = now + LATEST;
        let told = self.told.entry((group, epoch)).or_insert(Told {
            unanswered: 0,
            until,
        });
        told.unanswered += 1;
        told.until = until;
    }

    /// Notes that the order to open a group was answered, so that it takes effect within a time.
    pub fn note_open_answered(&mut self, group: GroupId, epoch: Epoch, until: Instant) {
        if let Some(told) = self.told.get_mut(&(group, epoch)) {
            told.unanswered = told.unanswered.saturating_sub(1);
            if told.unanswered == 0 {
                told.until = until;
            }
        }
    }

    /// Tells whether the head of a group may still begin to serve by an order given earlier.
    pub fn may_open(&self, group: &GroupId, epoch: Epoch, now: Instant) -> bool {
        let told = self.told.get(&(group.clone(), epoch));
        epoch <= self.earlier && now < self.earlier_until
            || told.is_some_and(|told| now < told.until)
    }

    /// Notes that an instance is told to join under an epoch.
    pub fn note_join(&mut self, instance: InstanceId, epoch: Epoch, now: Instant) {
        self.joins.insert(instance, (epoch, now + LATEST));
    }

    /// Notes that an instance has answered the order to join under an epoch. Earlier orders have
    /// lower epochs, which it refuses from now on.
    pub fn note_join_answered(&mut self, instance: &InstanceId, epoch: Epoch) {
        if self
            .joins
            .get(instance)
            .is_some_and(|(told, _)| *told == epoch)
        {
            self.joins.remove(instance);
        }
    }

    /// Tells whether a member of a group with an epoch may be taken into another one by an order
    /// given earlier.
    pub fn may_be_taken(&self, instance: &InstanceId, epoch: Epoch, now: Instant) -> bool {
        let told = self.joins.get(instance);
        epoch <= self.earlier && now < self.earlier_until
            || told.is_some_and(|(told, until)| *told > epoch && now < *until)
    }

    /// Forgets what is over.
    pub fn forget_past(&mut self, now: Instant) {
        self.told.retain(|_, told| now < told.until);
        self.joins.retain(|_, (_, until)| now < *until);
    }
}
