//! The receiving side of an event stream from an instance.

use cuminlb_catalog::ResponseHead;
use cuminlb_upstream::EventDecoder;
use http::response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use smol_str::ToSmolStr;

use super::attempt_update::AttemptUpdate;
use super::request_stage::RequestStage;
use crate::gateway::Gateway;
use crate::links::InstanceLink;
use crate::upstream::ConnectionDeadline;

/// The number of events from which on a crash of the instance is not attributed to the stream.
pub(super) const RESPONDING_EVENTS: u64 = 2;

/// A stream of events from an instance.
#[derive(Debug)]
pub(super) struct StreamSource {
    /// The head of the response, until it is taken.
    pub(super) parts: Option<Box<response::Parts>>,
    pub(super) head: ResponseHead,
    pub(super) body: Incoming,
    pub(super) link: InstanceLink,
    /// Ends the stream at the deadline of the request, even if the caller does not read.
    pub(super) deadline: ConnectionDeadline,
    pub(super) decoder: EventDecoder,
    /// The number of events that have been received.
    pub(super) event_count: u64,
    pub(super) has_ended: bool,
}

impl StreamSource {
    /// Returns the next event or the end, as far as it has been received.
    pub(super) fn decode(&mut self) -> Option<AttemptUpdate> {
        match self.decoder.next_event() {
            Ok(Some(event)) => {
                self.event_count += 1;
                Some(AttemptUpdate::Event(event))
            }
            Ok(None) if !self.has_ended => None,
            Ok(None) if self.decoder.is_empty() => Some(AttemptUpdate::End),
            Ok(None) => Some(AttemptUpdate::Interrupted(
                "the stream ended in the middle of an event".into(),
            )),
            Err(error) => Some(AttemptUpdate::Interrupted(error.to_smolstr())),
        }
    }

    /// Receives more of the stream. Returns an update only if the stream was interrupted.
    pub(super) async fn receive(&mut self) -> Option<AttemptUpdate> {
        match self.body.frame().await {
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    self.decoder.push(data);
                }
            }
            Some(Err(error)) => return Some(AttemptUpdate::Interrupted(error.to_smolstr())),
            None => self.has_ended = true,
        }
        None
    }

    /// Returns how far the instance has come with the request.
    pub(super) const fn stage(&self) -> RequestStage {
        if self.event_count < RESPONDING_EVENTS {
            RequestStage::Begun
        } else {
            RequestStage::Responding
        }
    }

    /// Returns the connection to the pool if the stream has ended.
    pub(super) fn release_connection(self, gateway: &Gateway) {
        drop(self.deadline);
        if self.has_ended && !self.head.closes {
            self.link.release(gateway, self.head.keep_alive_ms);
        }
    }
}
