//! The body type of responses to callers.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};

use super::stream_error::StreamError;

/// The body of a response: either buffered, or a stream that may be aborted.
pub(super) type ResponseBody = UnsyncBoxBody<Bytes, StreamError>;

/// Returns a body that is completely buffered.
pub(super) fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    let body = Full::new(bytes.into());
    body.map_err(|never| match never {}).boxed_unsync()
}
