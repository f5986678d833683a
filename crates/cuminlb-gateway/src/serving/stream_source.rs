//! The receiving side of an event stream from an instance.

use cuminlb_catalog::ResponseHead;
use cuminlb_routing::{BudgetShare, EventContent};
use cuminlb_upstream::EventDecoder;
use http::response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use smol_str::ToSmolStr;

use super::attempt_update::AttemptUpdate;
use super::event_content::event_content;
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
    /// What the events hold that were received and not passed on.
    pub(super) held: BudgetShare,
    /// The number of events that have been received.
    pub(super) event_count: u64,
    /// Whether an event that is more than a comment has been received.
    pub(super) has_content: bool,
    pub(super) has_ended: bool,
}

impl StreamSource {
    /// Returns the next event or the end, as far as it has been received.
    pub(super) fn decode(&mut self) -> Option<AttemptUpdate> {
        match self.decoder.next_event() {
            Ok(Some(event)) => {
                self.event_count += 1;
                self.has_content |=
                    event.id().is_some() || event_content(&event) != EventContent::Nothing;
                Some(AttemptUpdate::Event(event))
            }
            Ok(None) if !self.has_ended => None,
            Ok(None) => Some(self.end()),
            Err(error) => Some(AttemptUpdate::Interrupted(error.to_smolstr())),
        }
    }

    /// Returns whether the end of the body is that of the stream.
    fn end(&self) -> AttemptUpdate {
        if !self.decoder.is_empty() {
            let reason = "the stream ended in the middle of an event";
            return AttemptUpdate::Interrupted(reason.into());
        }
        // An instance that ends before it begins closes the connection in the same way.
        if self.head.ends_with_connection && !self.has_content {
            let reason = "the stream ended with its connection before its first event";
            return AttemptUpdate::Interrupted(reason.into());
        }
        AttemptUpdate::End
    }

    /// Returns whether a part of an event has been received whose rest has not.
    pub(super) fn has_begun_event(&self) -> bool {
        self.decoder.has_begun_event()
    }

    /// Receives more of the stream. Returns an update only if the stream was interrupted.
    pub(super) async fn receive(&mut self) -> Option<AttemptUpdate> {
        match self.body.frame().await {
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    self.decoder.push(data);
                    if let Err(error) = self.held.resize(self.decoder.len()) {
                        return Some(AttemptUpdate::Interrupted(error.to_smolstr()));
                    }
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
