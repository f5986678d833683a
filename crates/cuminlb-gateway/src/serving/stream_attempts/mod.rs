//! The attempts of one request for a stream; submodule `updates` evaluates what they receive.

mod updates;

use std::sync::Arc;

use cuminlb_routing::{BudgetUse, OpenAttempts, Refusal, Selection, StreamPosition};
use cuminlb_types::prelude::*;
use log::info;
use smol_str::ToSmolStr;
use tokio::sync::watch;

use super::admitted_request::AdmittedRequest;
use super::attempt_obstacle::AttemptObstacle;
use super::attempt_stage::AttemptStage;
use super::choose_target::choose_target;
use super::open_streams::OpenStreams;
use super::request_stage::RequestStage;
use super::stream_attempt::StreamAttempt;
use super::stream_progress::StreamProgress;
use super::stream_update::StreamUpdate;
use super::target::Target;
use crate::gateway::Gateway;
use crate::knowledge::Directory;

/// The attempts of one request for a stream. An attempt whose instance is silent stays open beside
/// the next one, until one of them has sent something that the caller does not have.
#[derive(Debug)]
pub(super) struct StreamAttempts {
    pub(super) gateway: Arc<Gateway>,
    pub(super) request: AdmittedRequest,
    /// What the caller has received.
    pub(super) progress: StreamProgress,
    /// How the attempts connect to what the caller has received.
    position: StreamPosition,
    pub(super) decisions: OpenAttempts,
    pub(super) open: OpenStreams,
    has_reached_instance: bool,
    /// What was logged last as the reason why no other instance is tried.
    logged_obstacle: Option<AttemptObstacle>,
    /// The changes of the directory since an instance was last chosen.
    changes: watch::Receiver<Arc<Directory>>,
}

impl StreamAttempts {
    pub(super) fn new(gateway: &Arc<Gateway>, request: AdmittedRequest) -> Self {
        let route = &request.route;
        Self {
            gateway: Arc::clone(gateway),
            decisions: OpenAttempts::new(route.max_attempts, route.kind.may_retry()),
            progress: StreamProgress::new(request.head.resume_after),
            position: StreamPosition::new(request.head.resume_after),
            request,
            open: OpenStreams::default(),
            has_reached_instance: false,
            logged_obstacle: None,
            changes: gateway.knowledge.directory_changes(),
        }
    }

    /// Returns whether the request may have run.
    pub(super) fn may_have_run(&self) -> bool {
        self.decisions.may_have_run()
    }

    /// Returns whether the request may run once more.
    pub(super) fn may_run_again(&self) -> bool {
        self.decisions.may_run_again()
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
    /// as they are. If no other instance may take it, this is logged.
    pub(super) fn offer(&mut self, reason: &str) {
        if self.decisions.has_responsive_attempt() {
            return;
        }
        let obstacle = self.try_offer(reason).err();
        if obstacle.is_some() && obstacle != self.logged_obstacle {
            info!(
                request:% = self.request.head.id, open = self.open.len(),
                last_event = self.progress.last_event().map(EventId::get), reason = reason,
                obstacle = obstacle.map(|it| it.to_smolstr()).as_deref();
                "no other group takes a stream"
            );
        }
        self.logged_obstacle = obstacle;
    }

    /// Returns whether no open attempt responds and no other instance was available.
    pub(super) fn lacks_instance(&self) -> bool {
        let had_none = self.logged_obstacle == Some(AttemptObstacle::NoInstance);
        had_none && !self.decisions.has_responsive_attempt()
    }

    fn try_offer(&mut self, reason: &str) -> Result<(), AttemptObstacle> {
        if !self.progress.is_resumable() {
            return Err(AttemptObstacle::NotResumable);
        }
        if !self.may_run_again() {
            return Err(AttemptObstacle::NoRunLeft);
        }
        self.changes.mark_unchanged();
        let target = choose_target(&self.gateway, &self.request, &self.decisions)
            .ok_or(AttemptObstacle::NoInstance)?;
        let instance = target.instance.clone();
        let budget = self.start(target)?;
        info!(
            request:% = self.request.head.id, instance:% = instance, open = self.open.len(),
            last_event = self.progress.last_event().map(EventId::get), reason = reason,
            budget = budget.map(|it| it.to_smolstr()).as_deref();
            "stream offered to another group"
        );
        Ok(())
    }

    /// Starts an attempt on an instance. Returns how much of the retry budget was used before, if it is a
    /// retry.
    ///
    /// # Errors
    ///
    /// Returns [`AttemptObstacle`] if the request may not be sent there.
    pub(super) fn start(&mut self, target: Target) -> Result<Option<BudgetUse>, AttemptObstacle> {
        if self.may_have_run() && self.gateway.is_quarantined(&self.request) {
            return Err(AttemptObstacle::Quarantined);
        }
        let is_retry = self.has_reached_instance || !self.open.is_empty();
        let mut budget = None;
        if is_retry {
            budget = self.gateway.acquire_retry(&self.request.service);
            if budget.is_none() {
                return Err(AttemptObstacle::NoBudget);
            }
        }
        let number = self.decisions.start(target.instance.clone());
        let last_event = self.progress.last_event();
        let request = &self.request;
        let attempt = StreamAttempt::start(&self.gateway, request, number, target, last_event);
        self.open.push(attempt);
        Ok(budget)
    }

    /// Waits for the next update of any open attempt.
    pub(super) async fn next(&mut self) -> StreamUpdate {
        loop {
            if self.open.is_empty() {
                return StreamUpdate::Failed("no group can continue the stream".into());
            }
            if let Some(update) = self.open.next_of_ended() {
                return update;
            }
            let (index, update) = tokio::select! {
                biased;
                received = self.open.receive(&self.gateway, &self.request) => received,
                Ok(()) = self.changes.changed(), if self.lacks_instance() => return StreamUpdate::Silent,
            };
            if let Some(update) = self.handle(index, update) {
                return update;
            }
        }
    }

    /// Continues the response with an attempt that has sent something that the caller does not have.
    /// The connections of all others are closed.
    pub(super) fn select(&mut self, number: AttemptNumber) {
        let selection = self.decisions.select(number);
        if selection == Selection::Unchanged {
            return;
        }
        let cancelled = self.open.remove_others(number);
        for attempt in &cancelled {
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
        info!(
            request:% = self.request.head.id,
            instance = self.open.first_instance().map(InstanceId::as_str),
            cancelled = cancelled.len(), tries = self.decisions.started();
            "{message}"
        );
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
}
