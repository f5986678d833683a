//! The body of a response together with the guard of its request.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::request_guard::RequestGuard;
use super::response_body::ResponseBody;
use super::stream_error::StreamError;

/// The body of a response. Its connection is busy until it is dropped.
#[derive(Debug)]
pub(super) struct GuardedBody {
    body: ResponseBody,
    _guard: RequestGuard,
}

impl GuardedBody {
    pub(super) const fn new(body: ResponseBody, guard: RequestGuard) -> Self {
        Self {
            body,
            _guard: guard,
        }
    }
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = StreamError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
