//! What happens to the attempts of a request for a stream.

use cuminlb_types::prelude::*;
use cuminlb_upstream::StreamEvent;
use http::Response;
use smol_str::SmolStr;

use super::response_body::ResponseBody;

/// The next update from the attempts of a request.
#[derive(Debug)]
pub(super) enum StreamUpdate {
    /// A stream has begun, but has not sent an event.
    Opened,
    /// A complete response that is no stream, whose attempt has ended.
    Other(Response<ResponseBody>),
    /// An event of an attempt that the caller is to receive.
    Event(AttemptNumber, StreamEvent),
    /// The stream of an attempt has ended and is complete.
    End(AttemptNumber),
    /// An attempt has ended without a complete response.
    Failed(SmolStr),
    /// The instance of an attempt is silent. The attempt stays open.
    Silent,
    /// The deadline of the request has passed.
    TimedOut,
}
