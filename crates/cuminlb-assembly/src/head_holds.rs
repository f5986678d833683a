//! [`HeadHolds`].

use std::collections::BTreeMap;
use std::time::Duration;

use cuminlb_types::prelude::*;
use tokio::time::Instant;

/// Instances that may not join elsewhere yet, because the head of the group that they were told
/// to leave answers nothing and may still stand open somewhere.
///
/// A head whose members have left gives up by itself within a known time; so the time counts from
/// when a member left.
#[derive(Clone, Debug)]
pub struct HeadHolds {
    give_up: Duration,
    until: BTreeMap<InstanceId, Instant>,
}

impl HeadHolds {
    /// Starts without any, for heads that give up within `give_up`.
    pub const fn new(give_up: Duration) -> Self {
        Self {
            give_up,
            until: BTreeMap::new(),
        }
    }

    /// Notes that an instance has left a group whose head answers nothing.
    pub fn hold(&mut self, id: InstanceId, now: Instant) {
        let until = now + self.give_up;
        self.until.entry(id).or_insert(until);
    }

    /// Tells whether an instance may not join elsewhere.
    pub fn holds(&self, id: &InstanceId, now: Instant) -> bool {
        self.until.get(id).is_some_and(|&until| now < until)
    }

    /// Forgets what is over.
    pub fn forget_past(&mut self, now: Instant) {
        self.until.retain(|_, until| now < *until);
    }
}
