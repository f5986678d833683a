//! The body of an answer to a caller.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};

use super::stream_relay::StreamBroken;

/// The body of an answer: whole, or a stream that can break off.
pub(super) type AnswerBody = UnsyncBoxBody<Bytes, StreamBroken>;

/// Returns a body that is there as a whole.
pub(super) fn whole_body(bytes: impl Into<Bytes>) -> AnswerBody {
    let body = Full::new(bytes.into());
    body.map_err(|never| match never {}).boxed_unsync()
}
