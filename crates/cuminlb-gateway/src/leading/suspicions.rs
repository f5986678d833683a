//! The queue of suspicion notices for the leader.

use std::sync::{Mutex, PoisonError};

use cuminlb_peer::SuspicionNotice;
use tokio::sync::Notify;

/// Maximum number of notices that are kept while this node does not lead.
const MAX_NOTICES: usize = 64;

/// Notices to the leader about group heads that have fallen silent.
#[derive(Debug, Default)]
pub(crate) struct Suspicions {
    notices: Mutex<Vec<SuspicionNotice>>,
    added: Notify,
}

impl Suspicions {
    /// Adds a notice, or drops it if the queue is full.
    pub(crate) fn add(&self, notice: SuspicionNotice) {
        let mut notices = self.notices.lock().unwrap_or_else(PoisonError::into_inner);
        if notices.len() < MAX_NOTICES {
            notices.push(notice);
        }
        self.added.notify_one();
    }

    /// Removes and returns all notices.
    pub(super) fn take_all(&self) -> Vec<SuspicionNotice> {
        let mut notices = self.notices.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *notices)
    }

    /// Waits until a notice was added.
    pub(super) async fn wait(&self) {
        self.added.notified().await;
    }
}
