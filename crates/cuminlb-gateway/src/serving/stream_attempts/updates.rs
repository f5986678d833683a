//! Evaluates what the attempts of one request receive.

use cuminlb_routing::EventPlace;
use cuminlb_upstream::StreamEvent;
use smol_str::{SmolStr, ToSmolStr};

use super::StreamAttempts;
use crate::serving::attempt_update::AttemptUpdate;
use crate::serving::event_content::event_content;
use crate::serving::request_stage::RequestStage;
use crate::serving::stream_source::{RESPONDING_EVENTS, StreamSource};
use crate::serving::stream_update::StreamUpdate;

impl StreamAttempts {
    /// Evaluates an update of an attempt. Returns nothing if the response stays as it is.
    pub(super) fn handle(&mut self, index: usize, update: AttemptUpdate) -> Option<StreamUpdate> {
        let attempt = self.open.at(index);
        match update {
            AttemptUpdate::Opened => {
                self.has_reached_instance = true;
                attempt.log_outcome(&self.request, "stream");
                Some(StreamUpdate::Opened)
            }
            AttemptUpdate::Other(response) => {
                self.has_reached_instance = true;
                attempt.log_outcome(&self.request, response.status().as_str());
                self.end(index, true, None);
                Some(StreamUpdate::Other(response))
            }
            AttemptUpdate::Event(event) => self.handle_event(index, event),
            AttemptUpdate::End => self.handle_end(index),
            AttemptUpdate::Failed(failure) => {
                self.has_reached_instance |= failure.has_reached_instance();
                let reason = failure.to_smolstr();
                attempt.log_outcome(&self.request, &reason);
                let stage = failure.stage_of_lost_connection();
                self.end(index, !failure.is_not_run(), stage);
                self.update_after_failure(reason)
            }
            AttemptUpdate::Interrupted(reason) => {
                let stage = attempt.source().map(StreamSource::stage);
                self.end(index, true, stage);
                self.update_after_failure(reason)
            }
            AttemptUpdate::Silent => {
                if attempt.has_lost_link(&self.gateway) {
                    self.decisions.record_lost_link(attempt.number);
                } else {
                    self.decisions.record_silence(attempt.number);
                }
                Some(StreamUpdate::Silent)
            }
            AttemptUpdate::TimedOut => self.update_at_deadline(),
        }
    }

    /// Returns the event if the caller is to receive it.
    fn handle_event(&mut self, index: usize, event: StreamEvent) -> Option<StreamUpdate> {
        let attempt = self.open.at(index);
        let source = attempt.source();
        if source.is_some_and(|it| it.event_count == RESPONDING_EVENTS) {
            self.gateway.record_success(&self.request);
        }
        let number = attempt.number;
        let is_selected = self.decisions.is_selected(number);
        let content = event_content(&event);
        let place = self.position.place(number, event.id(), content);
        if place == EventPlace::Unconnected {
            return self.leave(index, "events are missing");
        }
        let attempt = self.open.at(index);
        let event = attempt.pass_on(event, &self.progress, is_selected)?;
        Some(StreamUpdate::Event(number, event))
    }

    /// Ends an attempt whose stream does not continue what the caller has. It may have run.
    fn leave(&mut self, index: usize, reason: &str) -> Option<StreamUpdate> {
        self.open.at(index).log_outcome(&self.request, reason);
        self.end(index, true, None);
        self.update_after_failure(reason.into())
    }

    /// Returns the end of an attempt that has delivered a part of the response. Any other end is held
    /// back while another attempt may continue the response.
    fn handle_end(&mut self, index: usize) -> Option<StreamUpdate> {
        if !self.position.may_end(self.open.at(index).number) {
            return self.leave(index, "the stream ended too early");
        }
        let attempt = self.open.at(index);
        attempt.has_ended = true;
        if attempt.has_delivered {
            return Some(StreamUpdate::End(attempt.number));
        }
        self.decisions.record_silence(attempt.number);
        None
    }

    /// Returns the failure of an attempt, unless an end that was held back completes the response:
    /// an instance that resumes it after its last event and ends it there has nothing to add.
    fn update_after_failure(&self, reason: SmolStr) -> Option<StreamUpdate> {
        (!self.open.have_all_ended()).then_some(StreamUpdate::Failed(reason))
    }

    /// Reports that the deadline has passed, unless an end that was held back completes the response.
    fn update_at_deadline(&mut self) -> Option<StreamUpdate> {
        let Some(number) = self.open.ended() else {
            return Some(StreamUpdate::TimedOut);
        };
        self.select(number);
        None
    }

    /// Removes an attempt that has ended without a stream. `lost_stage` is set if its connection was
    /// lost.
    fn end(&mut self, index: usize, may_have_run: bool, lost_stage: Option<RequestStage>) {
        let attempt = self.open.remove(index);
        self.decisions.record_end(attempt.number, may_have_run);
        if let Some(stage) = lost_stage {
            self.gateway
                .check_instance(&self.request, &attempt.target, stage);
        }
    }
}
