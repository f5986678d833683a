//! An eventually consistent instance list: changes become visible after a fixed lag.

use std::collections::VecDeque;

use cuminlb_platform::{InstanceListing, InstanceRecord, ListRevision};
use cuminlb_types::prelude::*;
use tokio::time::Instant;

/// The instance list, in which a change becomes visible only after a lag.
#[derive(Debug)]
pub(super) struct LaggingList {
    lag_ms: Millis,
    visible: InstanceListing,
    pending: VecDeque<(Instant, InstanceListing)>,
}

impl LaggingList {
    pub(super) fn new(lag_ms: Millis) -> Self {
        Self {
            lag_ms,
            visible: InstanceListing::default(),
            pending: VecDeque::new(),
        }
    }

    /// Replaces the complete list; the change becomes visible after the lag.
    pub(super) fn set(&mut self, instances: Vec<InstanceRecord>) {
        let last_revision = self
            .pending
            .back()
            .map_or(self.visible.revision, |(_, list)| list.revision);
        let revision = ListRevision(last_revision.0 + 1);
        let visible_at = Instant::now() + self.lag_ms.duration();
        self.pending.push_back((
            visible_at,
            InstanceListing {
                revision,
                instances,
            },
        ));
    }

    /// Returns the list that is visible now.
    pub(super) fn get(&mut self) -> &InstanceListing {
        let now = Instant::now();
        while self
            .pending
            .front()
            .is_some_and(|(visible_at, _)| *visible_at <= now)
        {
            if let Some((_, listing)) = self.pending.pop_front() {
                self.visible = listing;
            }
        }
        &self.visible
    }
}
