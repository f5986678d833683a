//! Aggregates slot denials into events.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use cuminlb_types::prelude::*;

use crate::{DenialCause, EventKind};

/// The time over which denials of the same group and cause are aggregated into one event.
const WINDOW_MS: u64 = 1_000;

/// The maximum number of pairs of group and cause that are aggregated at a time. Beyond it, each
/// denial gets an event of its own, which keeps memory use bounded.
const MAX_WINDOWS: usize = 4_096;

/// Aggregates slot denials by group and cause, so that many denials result in few events.
#[derive(Debug, Default)]
pub struct DenialAggregator {
    windows: Mutex<BTreeMap<(GroupId, DenialCause), Window>>,
}

#[derive(Debug)]
struct Window {
    service: ServiceId,
    started_at_ms: UnixMillis,
    count: u64,
}

impl DenialAggregator {
    /// Counts a denial. Returns an event if the window of its group and cause is over.
    ///
    /// The first denial of a group and cause results in an event immediately.
    pub fn record(
        &self,
        service: &ServiceId,
        group: &GroupId,
        cause: DenialCause,
        now_ms: UnixMillis,
    ) -> Option<EventKind> {
        let mut windows = self.windows.lock().unwrap_or_else(PoisonError::into_inner);
        let key = (group.clone(), cause);
        let Some(window) = windows.get_mut(&key) else {
            let mut window = Window::new(service, now_ms);
            window.count = 1;
            let event = window.flush(&key, now_ms);
            if windows.len() < MAX_WINDOWS {
                windows.insert(key, window);
            }
            return Some(event);
        };
        window.count += 1;
        if now_ms.get() < window.started_at_ms.get().saturating_add(WINDOW_MS) {
            return None;
        }
        Some(window.flush(&key, now_ms))
    }

    /// Returns an event for each group and cause with denials that no event has reported yet, and
    /// removes all windows.
    pub fn drain(&self, now_ms: UnixMillis) -> Vec<EventKind> {
        let mut windows = self.windows.lock().unwrap_or_else(PoisonError::into_inner);
        let drained = std::mem::take(&mut *windows);
        drained
            .into_iter()
            .filter(|(_, window)| window.count > 0)
            .map(|(key, mut window)| window.flush(&key, now_ms))
            .collect()
    }
}

impl Window {
    fn new(service: &ServiceId, started_at_ms: UnixMillis) -> Self {
        Self {
            service: service.clone(),
            started_at_ms,
            count: 0,
        }
    }

    /// Returns the event for the counted denials and starts the next window.
    fn flush(&mut self, (group, cause): &(GroupId, DenialCause), now_ms: UnixMillis) -> EventKind {
        let over_ms = Millis(now_ms.get().saturating_sub(self.started_at_ms.get()));
        self.started_at_ms = now_ms;
        EventKind::SlotsDenied {
            service: self.service.clone(),
            group: group.clone(),
            cause: *cause,
            count: std::mem::take(&mut self.count),
            over_ms,
        }
    }
}
