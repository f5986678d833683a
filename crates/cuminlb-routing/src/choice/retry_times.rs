//! Until when instances want no requests.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use cuminlb_types::prelude::*;
use tokio::time::Instant;

/// The longest time for which an instance can ask to be left alone.
const MAX_RETRY_AFTER_MS: Millis = Millis(300_000);

/// Until when instances want no requests from this node, as they stated when they refused one.
///
/// This answers the load of instances that are full: without it, each further request asks all of
/// them again, and costs them a connection and the work of refusing it.
#[derive(Debug, Default)]
pub struct RetryTimes {
    until: Mutex<HashMap<InstanceId, Instant>>,
}

impl RetryTimes {
    /// Records that an instance has refused a request and wants none for `retry_after_ms`. A longer
    /// time that it has stated before stays in force.
    pub fn record(&self, id: &InstanceId, retry_after_ms: Millis, now: Instant) {
        let until = now + retry_after_ms.min(MAX_RETRY_AFTER_MS).duration();
        let mut times = self.times();
        let known = times.entry(id.clone()).or_insert(until);
        *known = until.max(*known);
    }

    /// Returns until when an instance wants no requests; `None` if it may receive one now.
    pub fn until(&self, id: &InstanceId, now: Instant) -> Option<Instant> {
        self.times().get(id).copied().filter(|until| now < *until)
    }

    /// Removes the times that have passed.
    pub fn remove_expired(&self, now: Instant) {
        self.times().retain(|_, until| now < *until);
    }

    fn times(&self) -> MutexGuard<'_, HashMap<InstanceId, Instant>> {
        self.until.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
