//! Delays the next join of instances whose former head may still serve.

use std::collections::BTreeMap;
use std::time::Duration;

use cuminlb_types::prelude::*;
use tokio::time::Instant;

/// Instances that may not join another group yet, because the head of the group that they were
/// ordered to leave does not respond and may still be open.
///
/// A head whose members have left stops serving by itself after the stall timeout, so each hold
/// lasts for that time from when the member left.
#[derive(Clone, Debug)]
pub struct JoinHolds {
    stall_timeout: Duration,
    until: BTreeMap<InstanceId, Instant>,
}

impl JoinHolds {
    /// Creates an empty set of holds; heads without members stop serving within `stall_timeout`.
    pub const fn new(stall_timeout: Duration) -> Self {
        Self {
            stall_timeout,
            until: BTreeMap::new(),
        }
    }

    /// Holds an instance that has left a group whose head does not respond.
    pub fn hold(&mut self, id: InstanceId, now: Instant) {
        let until = now + self.stall_timeout;
        self.until.entry(id).or_insert(until);
    }

    /// Returns whether an instance may not join another group yet.
    pub fn is_held(&self, id: &InstanceId, now: Instant) -> bool {
        self.until.get(id).is_some_and(|&until| now < until)
    }

    /// Removes the holds that have expired.
    pub fn remove_expired(&mut self, now: Instant) {
        self.until.retain(|_, until| now < *until);
    }
}
