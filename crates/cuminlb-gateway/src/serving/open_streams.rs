//! The attempts of one request for a stream that are open at the same time.

use std::sync::Arc;

use cuminlb_types::prelude::*;
use futures_util::future::select_all;
use http::response;

use super::admitted_request::AdmittedRequest;
use super::attempt_update::AttemptUpdate;
use super::stream_attempt::StreamAttempt;
use super::stream_update::StreamUpdate;
use crate::gateway::Gateway;

/// The attempts of one request for a stream that are open at the same time. The end of a stream that
/// delivered nothing is held back while another attempt is running.
#[derive(Debug, Default)]
pub(super) struct OpenStreams(Vec<StreamAttempt>);

impl OpenStreams {
    /// Returns whether no attempt is open.
    pub(super) const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the number of open attempts.
    pub(super) const fn len(&self) -> usize {
        self.0.len()
    }

    /// Adds an attempt.
    pub(super) fn push(&mut self, attempt: StreamAttempt) {
        self.0.push(attempt);
    }

    /// Returns the attempt at a position.
    pub(super) fn at(&mut self, index: usize) -> &mut StreamAttempt {
        &mut self.0[index]
    }

    /// Returns the position of an attempt that meets a condition.
    pub(super) fn position(&self, condition: impl Fn(&StreamAttempt) -> bool) -> Option<usize> {
        self.0.iter().position(condition)
    }

    /// Removes the attempt at a position.
    pub(super) fn remove(&mut self, index: usize) -> StreamAttempt {
        self.0.remove(index)
    }

    /// Removes all attempts but one, and returns them.
    pub(super) fn remove_others(&mut self, number: AttemptNumber) -> Vec<StreamAttempt> {
        self.0.extract_if(.., |it| it.number != number).collect()
    }

    /// Returns the instance of the first attempt.
    pub(super) fn first_instance(&self) -> Option<&InstanceId> {
        self.0.first().map(|attempt| &attempt.target.instance)
    }

    /// Returns the head of the response of an attempt.
    pub(super) fn take_head(&mut self, number: AttemptNumber) -> Option<Box<response::Parts>> {
        let attempt = self.0.iter_mut().find(|it| it.number == number)?;
        attempt.take_head()
    }

    /// Returns an attempt whose end is held back.
    pub(super) fn ended(&self) -> Option<AttemptNumber> {
        let ended = self.0.iter().find(|attempt| attempt.has_ended);
        ended.map(|attempt| attempt.number)
    }

    /// Returns whether attempts are open and the streams of all have ended.
    pub(super) fn have_all_ended(&self) -> bool {
        !self.is_empty() && self.0.iter().all(|attempt| attempt.has_ended)
    }

    /// Returns the end that was held back, if the streams of all attempts have ended.
    pub(super) fn next_of_ended(&mut self) -> Option<StreamUpdate> {
        if !self.have_all_ended() {
            return None;
        }
        let attempt = self.0.first_mut()?;
        let number = attempt.number;
        let event = attempt.held_back.take();
        Some(event.map_or(StreamUpdate::End(number), |event| {
            StreamUpdate::Event(number, event)
        }))
    }

    /// Waits for the next update of an attempt whose stream has not ended, and returns its position.
    /// There must be one.
    pub(super) async fn receive(
        &mut self,
        gateway: &Arc<Gateway>,
        request: &AdmittedRequest,
    ) -> (usize, AttemptUpdate) {
        if let [attempt] = self.0.as_mut_slice() {
            return (0, attempt.next(gateway, request).await);
        }
        let attempts = self.0.iter_mut().enumerate();
        let running = attempts.filter(|(_, attempt)| !attempt.has_ended);
        let updates = running.map(|(index, attempt)| {
            Box::pin(async move { (index, attempt.next(gateway, request).await) })
        });
        let (update, ..) = select_all(updates).await;
        update
    }
}

impl IntoIterator for OpenStreams {
    type Item = StreamAttempt;
    type IntoIter = std::vec::IntoIter<StreamAttempt>;

    fn into_iter(self) -> Self::IntoIter {
        self.0.into_iter()
    }
}
