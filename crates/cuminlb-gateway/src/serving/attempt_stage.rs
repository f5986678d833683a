//! How far an attempt to get an event stream has come.

use std::fmt;

use futures_util::future::BoxFuture;
use http::Response;
use hyper::body::Incoming;

use super::attempt_failure::AttemptFailure;
use super::response_body::ResponseBody;
use super::stream_source::StreamSource;
use crate::links::InstanceLink;
use crate::upstream::SendFailure;

/// How far an attempt to get an event stream has come. Each stage holds what it waits for, so that it
/// can be polled beside other attempts.
pub(super) enum AttemptStage {
    /// The way to the instance is being opened.
    Connecting(BoxFuture<'static, Result<InstanceLink, SendFailure>>),
    /// The request was sent, and its response has not begun.
    Waiting(BoxFuture<'static, (InstanceLink, Result<Response<Incoming>, SendFailure>)>),
    /// The response is no stream and is being read.
    ReadingResponse(BoxFuture<'static, Result<Response<ResponseBody>, AttemptFailure>>),
    /// The response is a stream of events.
    Streaming(Box<StreamSource>),
}

impl fmt::Debug for AttemptStage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Connecting(_) => "Connecting",
            Self::Waiting(_) => "Waiting",
            Self::ReadingResponse(_) => "ReadingResponse",
            Self::Streaming(_) => "Streaming",
        })
    }
}
