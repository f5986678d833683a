//! How much of a head a connection has received, and how much more it may read.

use std::task::{Context, Poll, ready};

use cuminlb_routing::HeadShare;

use super::head_refusal::HeadRefusal;

/// How much is read at once of a head that is longer than [`HeadShare::FREE_LEN_BYTES`].
const MAX_HEAD_READ_BYTES: usize = 8 << 10;

/// What a connection has received of the next request, and what it holds for it.
///
/// The reader asks for more in two cases only: its buffer has an incomplete head, all of which was
/// received since the last request began or in the last read before; or a request is in progress and
/// its buffer is empty.
#[derive(Debug)]
pub(super) struct IncomingHead {
    share: HeadShare,
    received_bytes: usize,
    /// Whether the request in progress has a body.
    has_body: bool,
    refusal: Option<HeadRefusal>,
}

impl IncomingHead {
    pub(super) const fn new(share: HeadShare) -> Self {
        Self {
            share,
            received_bytes: 0,
            has_body: false,
            refusal: None,
        }
    }

    /// Returns whether the request in progress has a body.
    pub(super) const fn has_body(&self) -> bool {
        self.has_body
    }

    /// Returns how much more of the head may be read, and holds as much. The task is woken when the
    /// budget has room.
    ///
    /// # Errors
    ///
    /// Returns the reason why the connection is to be closed.
    pub(super) fn poll_room(
        &mut self,
        cx: &Context<'_>,
        max_bytes: usize,
    ) -> Poll<Result<usize, HeadRefusal>> {
        if self.received_bytes < HeadShare::FREE_LEN_BYTES {
            return Poll::Ready(Ok(HeadShare::FREE_LEN_BYTES - self.received_bytes));
        }
        if self.received_bytes >= max_bytes {
            return Poll::Ready(Err(self.refuse(HeadRefusal::TooLong)));
        }
        let room = MAX_HEAD_READ_BYTES.min(max_bytes - self.received_bytes);
        let held = ready!(self.share.poll_resize(cx, self.received_bytes + room));
        Poll::Ready(match held {
            Ok(()) => Ok(room),
            Err(_held) => Err(self.refuse(HeadRefusal::TooManyHeld)),
        })
    }

    /// Records how much was read, and releases what was held for more.
    pub(super) fn record_read(&mut self, bytes: usize) {
        self.received_bytes += bytes;
        self.share.shrink(self.received_bytes);
    }

    /// Records that the head is complete. It is held until the request has ended.
    pub(super) fn complete(&mut self, has_body: bool) {
        self.has_body = has_body;
        self.received_bytes = 0;
        self.share.complete();
    }

    /// Releases what is held.
    pub(super) fn release(&mut self) {
        self.share.shrink(0);
    }

    /// Returns whether the connection is to be closed, since others need what it holds.
    pub(super) fn check_evicted(&mut self) -> bool {
        let is_evicted = self.share.is_evicted();
        if is_evicted {
            self.refuse(HeadRefusal::TooManyHeld);
        }
        is_evicted
    }

    /// Returns the reason why the connection is to be closed, if it is.
    pub(super) const fn refusal(&self) -> Option<HeadRefusal> {
        self.refusal
    }

    pub(super) const fn received_bytes(&self) -> usize {
        self.received_bytes
    }

    const fn refuse(&mut self, refusal: HeadRefusal) -> HeadRefusal {
        self.refusal = Some(refusal);
        refusal
    }
}
