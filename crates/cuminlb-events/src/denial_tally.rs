//! [`DenialTally`].

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use cuminlb_types::prelude::*;

use crate::{DenialCause, EventKind};

/// The time over which equal denials are gathered into one event.
const WINDOW_MS: u64 = 1_000;

/// The number of groups and causes that are gathered at once; beyond it each denial is reported
/// by itself, so that the memory stays bounded.
const MAX_ENTRIES: usize = 4_096;

/// Gathers slot denials, so that a time of many denials gives few events.
#[derive(Debug, Default)]
pub struct DenialTally {
    entries: Mutex<BTreeMap<(GroupId, DenialCause), Entry>>,
}

#[derive(Debug)]
struct Entry {
    service: ServiceId,
    since_ms: UnixMillis,
    count: u64,
}

impl DenialTally {
    /// Counts a denial, and returns an event when the first of its kind is a window old.
    ///
    /// The first denial of a group and cause is returned at once.
    pub fn note(
        &self,
        service: &ServiceId,
        group: &GroupId,
        cause: DenialCause,
        now_ms: UnixMillis,
    ) -> Option<EventKind> {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let key = (group.clone(), cause);
        let Some(entry) = entries.get_mut(&key) else {
            let mut entry = Entry::new(service, now_ms);
            entry.count = 1;
            let event = entry.take(&key, now_ms);
            if entries.len() < MAX_ENTRIES {
                entries.insert(key, entry);
            }
            return Some(event);
        };
        entry.count += 1;
        if now_ms.get() < entry.since_ms.get().saturating_add(WINDOW_MS) {
            return None;
        }
        Some(entry.take(&key, now_ms))
    }

    /// Returns an event for each kind of denial that was counted and not yet returned.
    pub fn drain(&self, now_ms: UnixMillis) -> Vec<EventKind> {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let drained = std::mem::take(&mut *entries);
        drained
            .into_iter()
            .filter(|(_, entry)| entry.count > 0)
            .map(|(key, mut entry)| entry.take(&key, now_ms))
            .collect()
    }
}

impl Entry {
    fn new(service: &ServiceId, since_ms: UnixMillis) -> Self {
        Self {
            service: service.clone(),
            since_ms,
            count: 0,
        }
    }

    /// Returns the event for what was counted and starts the next window.
    fn take(&mut self, (group, cause): &(GroupId, DenialCause), now_ms: UnixMillis) -> EventKind {
        let over_ms = Millis(now_ms.get().saturating_sub(self.since_ms.get()));
        self.since_ms = now_ms;
        EventKind::SlotsDenied {
            service: self.service.clone(),
            group: group.clone(),
            cause: *cause,
            count: std::mem::take(&mut self.count),
            over_ms,
        }
    }
}
