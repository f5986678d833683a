//! The body of a response together with the guard of its request.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::request_guard::RequestGuard;
use super::response_body::ResponseBody;
use super::stream_error::StreamError;

/// The body of a response. Its connection is busy until it is dropped.
#[derive(Debug)]
pub(super) struct GuardedBody {
    body: ResponseBody,
    guard: RequestGuard,
}

impl GuardedBody {
    pub(super) fn new(body: ResponseBody, mut guard: RequestGuard) -> Self {
        if body.is_end_stream() {
            guard.record_answered();
        }
        Self { body, guard }
    }
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = StreamError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if frame.is_none() || self.body.is_end_stream() {
            self.guard.record_answered();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
