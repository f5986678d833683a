//! Responses to callers: buffered, streamed or refused.

use bytes::Bytes;
use cuminlb_routing::Refusal;
use futures_util::stream::BoxStream;
use http::{HeaderMap, StatusCode};

/// The response to a caller's request.
pub enum CallerAnswer {
    /// A response with a complete body.
    Whole {
        /// The status.
        status: StatusCode,
        /// The headers.
        headers: HeaderMap,
        /// The body.
        body: Bytes,
    },
    /// A streamed response; it is complete if the last item is [`StreamPart::End`].
    Stream {
        /// The status.
        status: StatusCode,
        /// The headers.
        headers: HeaderMap,
        /// The items of the stream in order; dropping the stream cancels the request.
        parts: BoxStream<'static, StreamPart>,
    },
    /// A refusal, sent as an error response.
    Refused(Refusal),
}

/// One item of a streamed response.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamPart {
    /// Bytes of the body.
    Data(Bytes),
    /// The response is complete.
    End,
    /// The response was interrupted; the refusal is sent to the caller within the stream.
    Broken(Refusal),
}
