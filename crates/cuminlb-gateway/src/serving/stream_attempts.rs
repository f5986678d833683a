//! The attempts of one request for a stream.

use std::sync::Arc;

use cuminlb_routing::{OpenAttempts, Refusal, Selection};
use cuminlb_types::prelude::*;
use futures_util::future::select_all;
use http::response;
use log::info;
use smol_str::ToSmolStr;

use super::admitted_request::AdmittedRequest;
use super::attempt_obstacle::AttemptObstacle;
use super::attempt_stage::AttemptStage;
use super::attempt_update::AttemptUpdate;
use super::choose_target::choose_target;
use super::request_stage::RequestStage;
use super::stream_attempt::StreamAttempt;
use super::stream_source::{RESPONDING_EVENTS, StreamSource};
use super::stream_update::StreamUpdate;
use super::target::Target;
use crate::gateway::Gateway;

/// The attempts of one request for a stream. An attempt whose instance is silent stays open beside
/// the next one, until one of them has sent something that the caller does not have.
#[derive(Debug)]
pub(super) struct StreamAttempts {
    pub(super) gateway: Arc<Gateway>,
    pub(super) request: AdmittedRequest,
    decisions: OpenAttempts,
    open: Vec<StreamAttempt>,
    /// The instances that have been tried.
    pub(super) instances: Vec<InstanceId>,
    has_reached_instance: bool,
    /// What was logged last as the reason why no other instance is tried.
    logged_obstacle: Option<AttemptObstacle>,
}

impl StreamAttempts {
    pub(super) fn new(gateway: &Arc<Gateway>, request: AdmittedRequest) -> Self {
        let route = &request.route;
        Self {
            gateway: Arc::clone(gateway),
            decisions: OpenAttempts::new(route.max_attempts, route.kind.may_retry()),
            request,
            open: Vec::new(),
            instances: Vec::new(),
            has_reached_instance: false,
            logged_obstacle: None,
        }
    }

    /// Returns whether no attempt is open.
    pub(super) const fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Returns whether the request may have run.
    pub(super) const fn may_have_run(&self) -> bool {
        self.decisions.may_have_run()
    }

    /// Returns whether the request may run once more.
    pub(super) const fn may_run_again(&self) -> bool {
        self.decisions.may_run_again()
    }

    /// Returns the only open attempt if its stream has begun.
    pub(super) fn only_stream(&self) -> Option<AttemptNumber> {
        match self.open.as_slice() {
            [attempt] => attempt.source().map(|_| attempt.number),
            _ => None,
        }
    }

    /// Checks again that a request which has not run does not crash instances.
    ///
    /// # Errors
    ///
    /// Returns the refusal if it must not be sent.
    pub(super) fn allow_or_refuse(&mut self) -> Result<(), Refusal> {
        let is_unchecked = !self.may_have_run() && !self.request.is_probe;
        if is_unchecked && self.gateway.is_quarantined(&self.request) {
            self.gateway.allow_or_refuse(&mut self.request)?;
        }
        Ok(())
    }

    /// Offers the request to another instance while no open attempt responds. The open attempts stay
    /// as they are.
    ///
    /// # Errors
    ///
    /// Returns [`AttemptObstacle`] if no other instance may take it.
    pub(super) fn offer(
        &mut self,
        resume_after: Option<EventId>,
        reason: &str,
    ) -> Result<(), AttemptObstacle> {
        if self.decisions.has_responsive_attempt() {
            return Ok(());
        }
        let offered = self.try_offer(resume_after, reason);
        let obstacle = offered.err();
        if obstacle.is_some() && obstacle != self.logged_obstacle {
            info!(
                request:% = self.request.head.id, open = self.open.len(),
                last_event = resume_after.map(EventId::get), reason = reason,
                obstacle = obstacle.map(|it| it.to_smolstr()).as_deref();
                "no other group takes a stream"
            );
        }
        self.logged_obstacle = obstacle;
        offered
    }

    fn try_offer(
        &mut self,
        resume_after: Option<EventId>,
        reason: &str,
    ) -> Result<(), AttemptObstacle> {
        if !self.may_run_again() {
            return Err(AttemptObstacle::NoRunLeft);
        }
        let target = choose_target(&self.gateway, &self.request, &self.instances)
            .ok_or(AttemptObstacle::NoInstance)?;
        let instance = target.instance.clone();
        self.start(target, resume_after)?;
        info!(
            request:% = self.request.head.id, instance:% = instance, open = self.open.len(),
            last_event = resume_after.map(EventId::get), reason = reason;
            "stream offered to another group"
        );
        Ok(())
    }

    /// Starts an attempt on an instance.
    ///
    /// # Errors
    ///
    /// Returns [`AttemptObstacle`] if the request may not be sent there.
    pub(super) fn start(
        &mut self,
        target: Target,
        resume_after: Option<EventId>,
    ) -> Result<(), AttemptObstacle> {
        if self.may_have_run() && self.gateway.is_quarantined(&self.request) {
            return Err(AttemptObstacle::Quarantined);
        }
        let is_retry = self.has_reached_instance || !self.open.is_empty();
        if is_retry && !self.gateway.acquire_retry(&self.request.service) {
            return Err(AttemptObstacle::NoBudget);
        }
        self.instances.push(target.instance.clone());
        let number = self.decisions.start();
        let attempt = StreamAttempt::start(&self.gateway, number, target, resume_after);
        self.open.push(attempt);
        Ok(())
    }

    /// Waits for the next update of any open attempt.
    pub(super) async fn next(&mut self) -> StreamUpdate {
        let (gateway, request) = (&self.gateway, &self.request);
        let (update, index) = match self.open.as_mut_slice() {
            [] => return StreamUpdate::Failed("no group can continue the stream".into()),
            [attempt] => (attempt.next(gateway, request).await, 0),
            attempts => {
                let updates = attempts.iter_mut().map(|it| it.next(gateway, request));
                let (update, index, _) = select_all(updates.map(Box::pin)).await;
                (update, index)
            }
        };
        self.handle(index, update)
    }

    /// Continues the response with an attempt that has sent something that the caller does not have.
    /// The connections of all others are closed.
    pub(super) fn select(&mut self, number: AttemptNumber) {
        let selection = self.decisions.select(number);
        if selection == Selection::Unchanged {
            return;
        }
        let mut cancelled = 0;
        for attempt in self.open.extract_if(.., |it| it.number != number) {
            cancelled += 1;
            if attempt.source().is_none() {
                attempt.log_outcome(&self.request, "cancelled");
            }
        }
        self.logged_obstacle = None;
        let message = if selection == Selection::Moved {
            self.gateway.metrics.stream_moves.inc();
            "stream moved"
        } else {
            "stream went on by itself"
        };
        let instance = self.open.first().map(|attempt| &attempt.target.instance);
        info!(
            request:% = self.request.head.id, instance = instance.map(InstanceId::as_str),
            cancelled = cancelled, tries = self.instances.len();
            "{message}"
        );
    }

    /// Returns the head of the response of an attempt.
    pub(super) fn take_head(&mut self, number: AttemptNumber) -> Option<Box<response::Parts>> {
        let attempt = self.open.iter_mut().find(|it| it.number == number)?;
        attempt.take_head()
    }

    /// Ends the attempts after the stream of one of them has ended. Its connection can be used again.
    pub(super) fn finish(&mut self, number: AttemptNumber) {
        for attempt in std::mem::take(&mut self.open) {
            let AttemptStage::Streaming(source) = attempt.stage else {
                continue;
            };
            if attempt.number != number {
                continue;
            }
            if source.stage() == RequestStage::Begun {
                self.gateway.record_success(&self.request);
            }
            source.release_connection(&self.gateway);
        }
    }

    /// Ends an attempt whose stream does not continue what the caller has. It may have run.
    pub(super) fn leave(&mut self, number: AttemptNumber, reason: &str) {
        if let Some(index) = self.open.iter().position(|it| it.number == number) {
            self.open[index].log_outcome(&self.request, reason);
            self.end(index, true, None);
        }
    }

    fn handle(&mut self, index: usize, update: AttemptUpdate) -> StreamUpdate {
        let attempt = &self.open[index];
        let number = attempt.number;
        match update {
            AttemptUpdate::Opened => {
                self.has_reached_instance = true;
                attempt.log_outcome(&self.request, "stream");
                StreamUpdate::Opened
            }
            AttemptUpdate::Other(response) => {
                self.has_reached_instance = true;
                attempt.log_outcome(&self.request, response.status().as_str());
                self.end(index, true, None);
                StreamUpdate::Other(response)
            }
            AttemptUpdate::Event(event) => {
                let source = attempt.source();
                if source.is_some_and(|it| it.event_count == RESPONDING_EVENTS) {
                    self.gateway.record_success(&self.request);
                }
                StreamUpdate::Event(number, event)
            }
            AttemptUpdate::End => StreamUpdate::End(number),
            AttemptUpdate::Failed(failure) => {
                self.has_reached_instance |= failure.has_reached_instance();
                let reason = failure.to_smolstr();
                attempt.log_outcome(&self.request, &reason);
                let stage = failure.stage_of_lost_connection();
                self.end(index, !failure.is_not_run(), stage);
                StreamUpdate::Failed(reason)
            }
            AttemptUpdate::Interrupted(reason) => {
                let stage = attempt.source().map(StreamSource::stage);
                self.end(index, true, stage);
                StreamUpdate::Failed(reason)
            }
            AttemptUpdate::Silent => {
                self.decisions.record_silence(number);
                StreamUpdate::Silent
            }
            AttemptUpdate::TimedOut => StreamUpdate::TimedOut,
        }
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
