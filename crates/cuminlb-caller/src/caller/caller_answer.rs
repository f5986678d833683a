//! [`CallerAnswer`] and [`StreamPart`].

use bytes::Bytes;
use cuminlb_routing::Refusal;
use futures_util::stream::BoxStream;
use http::{HeaderMap, StatusCode};

/// The answer to a caller's request.
pub enum CallerAnswer {
    /// A whole answer.
    Whole {
        /// The status.
        status: StatusCode,
        /// The headers.
        headers: HeaderMap,
        /// The body.
        body: Bytes,
    },
    /// A streamed answer; it is whole when the last part is [`StreamPart::End`].
    Stream {
        /// The status.
        status: StatusCode,
        /// The headers.
        headers: HeaderMap,
        /// The parts in their order; dropping them cancels the request.
        parts: BoxStream<'static, StreamPart>,
    },
    /// A refusal.
    Refused(Refusal),
}

/// One part of a streamed answer.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamPart {
    /// Bytes of the answer.
    Data(Bytes),
    /// The answer is whole.
    End,
    /// The answer broke off; the caller is told so in the stream.
    Broken(Refusal),
}
