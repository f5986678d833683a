//! What happens to one attempt to get an event stream.

use cuminlb_upstream::StreamEvent;
use http::Response;
use smol_str::SmolStr;

use super::attempt_failure::AttemptFailure;
use super::response_body::ResponseBody;

/// The next update from an attempt.
#[derive(Debug)]
pub(super) enum AttemptUpdate {
    /// The head of a stream.
    Opened,
    /// A complete response that is no stream. The attempt has ended.
    Other(Response<ResponseBody>),
    /// An event.
    Event(StreamEvent),
    /// The stream has ended and is complete.
    End,
    /// No response began. The attempt has ended.
    Failed(AttemptFailure),
    /// The stream was interrupted. The attempt has ended.
    Interrupted(SmolStr),
    /// Nothing has been received for so long that the request should be offered to another instance.
    Silent,
    /// The deadline of the request has passed.
    TimedOut,
}
