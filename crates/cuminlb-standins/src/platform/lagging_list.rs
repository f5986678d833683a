//! [`LaggingList`].

use std::collections::VecDeque;

use cuminlb_platform::{InstanceListing, InstanceRecord, ListRevision};
use cuminlb_types::prelude::*;
use tokio::time::Instant;

/// The instance list, in which a change shows only after a lag.
#[derive(Debug)]
pub(super) struct LaggingList {
    lag_ms: Millis,
    shown: InstanceListing,
    coming: VecDeque<(Instant, InstanceListing)>,
}

impl LaggingList {
    pub(super) fn new(lag_ms: Millis) -> Self {
        Self {
            lag_ms,
            shown: InstanceListing::default(),
            coming: VecDeque::new(),
        }
    }

    /// Replaces the whole list; the change shows after the lag.
    pub(super) fn set(&mut self, instances: Vec<InstanceRecord>) {
        let last = self
            .coming
            .back()
            .map_or(self.shown.revision, |(_, list)| list.revision);
        let revision = ListRevision(last.0 + 1);
        let shows_at = Instant::now() + self.lag_ms.duration();
        self.coming.push_back((
            shows_at,
            InstanceListing {
                revision,
                instances,
            },
        ));
    }

    /// Returns the list as it shows now.
    pub(super) fn get(&mut self) -> &InstanceListing {
        let now = Instant::now();
        while self
            .coming
            .front()
            .is_some_and(|(shows_at, _)| *shows_at <= now)
        {
            if let Some((_, listing)) = self.coming.pop_front() {
                self.shown = listing;
            }
        }
        &self.shown
    }
}
