//! [`Suspicions`].

use std::sync::{Mutex, PoisonError};

use cuminlb_peer::SuspicionNotice;
use tokio::sync::Notify;

/// The notices that are kept while nobody leads here.
const MAX_KEPT: usize = 64;

/// Notices of heads that have fallen silent, for the leader.
#[derive(Debug, Default)]
pub(crate) struct Suspicions {
    notices: Mutex<Vec<SuspicionNotice>>,
    raised: Notify,
}

impl Suspicions {
    /// Adds a notice.
    pub(crate) fn add(&self, notice: SuspicionNotice) {
        let mut notices = self.notices.lock().unwrap_or_else(PoisonError::into_inner);
        if notices.len() < MAX_KEPT {
            notices.push(notice);
        }
        self.raised.notify_one();
    }

    /// Takes all notices.
    pub(super) fn take(&self) -> Vec<SuspicionNotice> {
        let mut notices = self.notices.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *notices)
    }

    /// Waits for a notice.
    pub(super) async fn wait(&self) {
        self.raised.notified().await;
    }
}
