//! Responses to callers: buffered, streamed or refused.

use bytes::Bytes;
use cuminlb_routing::Refusal;
use futures_util::stream::BoxStream;
use http::{HeaderMap, StatusCode};

/// The response to a caller's request.
pub enum CallerResponse {
    /// A response with a complete body.
    Complete {
        /// The status.
        status: StatusCode,
        /// The headers.
        headers: HeaderMap,
        /// The body.
        body: Bytes,
    },
    /// A streamed response; it is complete if the last item is [`StreamItem::End`].
    Stream {
        /// The status.
        status: StatusCode,
        /// The headers.
        headers: HeaderMap,
        /// The items of the stream in order; dropping the stream cancels the request.
        items: BoxStream<'static, StreamItem>,
    },
    /// A refusal, sent as an error response.
    Refused(Refusal),
}

/// One item of a streamed response.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamItem {
    /// Bytes of the body.
    Data(Bytes),
    /// The response is complete.
    End,
    /// The response was interrupted; the refusal is sent to the caller within the stream.
    Broken(Refusal),
}
