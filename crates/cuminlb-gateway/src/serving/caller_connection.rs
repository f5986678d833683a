//! The state of a caller's connection that its requests share with the task that serves it.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cuminlb_routing::ConnectionActivity;
use cuminlb_types::prelude::*;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::incoming_head::IncomingHead;
use super::read_buffer::ReadBuffer;
use crate::body_budgets::BodyBudgets;

/// The state of one connection of a caller.
#[derive(Debug)]
pub(super) struct CallerConnection {
    activity: Mutex<ConnectionActivity>,
    /// What has been received of the next request.
    head: Mutex<IncomingHead>,
    /// What the connection may read at once of a body.
    read_buffer: Mutex<ReadBuffer>,
    /// Is notified when the connection must release the memory of an incomplete head.
    eviction: Arc<Notify>,
    has_unread_body: AtomicBool,
    /// The number of requests whose heads were read.
    request_count: AtomicU64,
    /// The request in progress, once its id is known.
    request: Mutex<Option<RequestId>>,
}

impl CallerConnection {
    /// Returns the state of a connection that was just accepted, with what it holds in the budgets.
    pub(super) fn new(budgets: &BodyBudgets) -> Self {
        let share = budgets.heads.share();
        Self {
            eviction: share.eviction(),
            head: Mutex::new(IncomingHead::new(share)),
            read_buffer: Mutex::new(ReadBuffer::new(budgets.read_buffers.share())),
            activity: Mutex::new(ConnectionActivity::new(Instant::now())),
            has_unread_body: AtomicBool::new(false),
            request_count: AtomicU64::new(0),
            request: Mutex::default(),
        }
    }

    /// Returns what happens on the connection.
    pub(super) fn activity(&self) -> MutexGuard<'_, ConnectionActivity> {
        self.activity.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what has been received of the next request.
    pub(super) fn head(&self) -> MutexGuard<'_, IncomingHead> {
        self.head.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how much may be read at once while a request is in progress, into a buffer with room for
    /// `remaining_bytes`.
    pub(super) fn body_room(&self, remaining_bytes: usize) -> usize {
        let has_body = self.head().has_body();
        let buffer = self.read_buffer.lock();
        let mut buffer = buffer.unwrap_or_else(PoisonError::into_inner);
        buffer.room(remaining_bytes, has_body)
    }

    /// Waits until the connection must release the memory of an incomplete head.
    pub(super) async fn evicted(&self) {
        self.eviction.notified().await;
    }

    /// Records that the head of a request was read.
    pub(super) fn start_request(&self, has_body: bool) {
        self.request_count.fetch_add(1, Ordering::Relaxed);
        self.activity().start_request();
        self.head().complete(has_body);
    }

    /// Records that the response to the request is complete, or that the request has ended without.
    pub(super) fn end_request(&self) {
        self.activity().end_request(Instant::now());
        self.head().release();
    }

    /// Returns the number of requests whose heads were read.
    pub(super) fn request_count(&self) -> u64 {
        self.request_count.load(Ordering::Relaxed)
    }

    /// Records the id of the request in progress.
    pub(super) fn record_request(&self, id: RequestId) {
        *self.request() = Some(id);
    }

    /// Removes and returns the id of the request that has ended, if it was recorded.
    pub(super) fn take_request(&self) -> Option<RequestId> {
        self.request().take()
    }

    fn request(&self) -> MutexGuard<'_, Option<RequestId>> {
        self.request.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the body of a request was not read to its end, so that the connection can't
    /// carry another request.
    pub(super) fn leave_body_unread(&self) {
        self.has_unread_body.store(true, Ordering::Relaxed);
    }

    /// Returns whether the body of a request was not read to its end.
    pub(super) fn has_unread_body(&self) -> bool {
        self.has_unread_body.load(Ordering::Relaxed)
    }
}
