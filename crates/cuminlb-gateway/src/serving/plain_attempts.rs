//! The attempts of one request whose response is not a stream.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use cuminlb_routing::{BudgetUse, OpenAttempts, Unavailability};
use cuminlb_types::prelude::*;
use futures_util::future::{OptionFuture, select_all};
use log::info;
use smol_str::ToSmolStr;
use tokio::time::{Instant, sleep_until};

use super::admitted_request::AdmittedRequest;
use super::attempt_failure::AttemptFailure;
use super::choose_target::select_target;
use super::plain_attempt::{PlainAttempt, PlainOutcome};
use super::plain_exchange::plain_exchange;
use super::target::Target;
use crate::gateway::Gateway;

/// Fraction of the remaining time after which an attempt counts as silent if another may follow.
const ATTEMPT_TIME_FRACTION: f64 = 0.45;

/// The time without a response after which the link to an instance is checked, in target latencies.
const LINK_CHECK_FACTOR: u32 = 2;

/// The shortest time without a response after which the link to an instance is checked.
const MIN_LINK_CHECK_DELAY: Duration = Duration::from_millis(250);

/// Time reserved before the deadline for telling the caller that the request timed out.
const TIMEOUT_RESPONSE_MARGIN: Duration = Duration::from_millis(15);

/// The attempts of one request whose response is not a stream. An attempt whose instance is silent
/// stays open beside the next one.
pub(super) struct PlainAttempts<'a> {
    gateway: &'a Arc<Gateway>,
    request: &'a AdmittedRequest,
    decisions: OpenAttempts,
    open: Vec<PlainAttempt<'a>>,
    has_reached_instance: bool,
    /// Why no instance could take the request when an attempt was to start.
    unavailability: Unavailability,
}

impl<'a> PlainAttempts<'a> {
    pub(super) fn new(
        gateway: &'a Arc<Gateway>,
        request: &'a AdmittedRequest,
        decisions: OpenAttempts,
    ) -> Self {
        Self {
            gateway,
            request,
            decisions,
            open: Vec::new(),
            has_reached_instance: false,
            unavailability: Unavailability::default(),
        }
    }

    /// Returns why no instance could take the request when an attempt was last to start.
    pub(super) const fn unavailability(&self) -> Unavailability {
        self.unavailability
    }

    /// Returns whether no attempt is open.
    pub(super) const fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Returns whether the request may have run.
    pub(super) fn may_have_run(&self) -> bool {
        self.decisions.may_have_run()
    }

    /// Returns whether the caller must be told now that the request timed out.
    pub(super) fn is_late(&self) -> bool {
        Instant::now() >= self.deadline()
    }

    /// Returns whether an attempt is open that is not silent.
    pub(super) fn has_responsive(&self) -> bool {
        self.decisions.has_responsive_attempt()
    }

    /// Starts another attempt, if the request may run again and another instance can take it.
    pub(super) fn start(&mut self) {
        self.unavailability = Unavailability::default();
        if !self.decisions.may_run_again() {
            return;
        }
        let target = match select_target(self.gateway, self.request, &self.decisions) {
            Ok(target) => target,
            Err(unavailability) => {
                self.unavailability = unavailability;
                return;
            }
        };
        if self.may_have_run() && self.gateway.is_quarantined(self.request) {
            return;
        }
        let is_retry = self.has_reached_instance || !self.open.is_empty();
        let mut budget = None;
        if is_retry {
            budget = self.gateway.acquire_retry(&self.request.service);
            if budget.is_none() {
                return;
            }
        }
        self.start_at(target, budget);
    }

    fn start_at(&mut self, target: Target, budget: Option<BudgetUse>) {
        let number = self.decisions.start(target.instance.clone());
        let now = Instant::now();
        let remaining = self.deadline().saturating_duration_since(now);
        let may_run_again = self.decisions.may_run_again();
        let silent_at = may_run_again.then(|| now + remaining.mul_f64(ATTEMPT_TIME_FRACTION));
        let usual_time = self.request.route.target_latency_ms.duration();
        let check_at = now + (usual_time * LINK_CHECK_FACTOR).max(MIN_LINK_CHECK_DELAY);
        let (gateway, request) = (self.gateway, self.request);
        let destination = target.clone();
        let place = Arc::new(OnceLock::new());
        self.open.push(PlainAttempt {
            number,
            target,
            budget,
            place: Arc::clone(&place),
            silent_at,
            is_silent: false,
            check_at: Some(check_at),
            exchange: Box::pin(async move {
                plain_exchange(gateway, request, &destination, &place).await
            }),
        });
    }

    /// Waits until an open attempt, of which there must be one, has ended; `None` if one has fallen
    /// silent or the deadline has passed before.
    pub(super) async fn next(&mut self) -> Option<PlainOutcome> {
        let waiting = self.open.iter().filter(|attempt| !attempt.is_silent);
        let silent_at = waiting.filter_map(|attempt| attempt.silent_at).min();
        let check_at = self.open.iter().filter_map(|it| it.check_at).min();
        let deadline = &self.request.deadline;
        let silent = OptionFuture::from(silent_at.map(sleep_until));
        let expired = async move {
            tokio::select! {
                Some(()) = silent => {}
                () = deadline.answer_due(TIMEOUT_RESPONSE_MARGIN) => {}
            }
        };
        let check_due = OptionFuture::from(check_at.map(sleep_until));
        let exchanges = self.open.iter_mut().map(|it| it.exchange.as_mut());
        tokio::select! {
            biased;
            (outcome, index, _) = select_all(exchanges) => Some(self.end(index, outcome)),
            () = expired => {
                self.record_silence();
                None
            }
            Some(()) = check_due => {
                self.check_links();
                None
            }
        }
    }

    /// Returns when the request is given up.
    fn deadline(&self) -> Instant {
        self.request.deadline.latest_answer(TIMEOUT_RESPONSE_MARGIN)
    }

    fn end(&mut self, index: usize, outcome: PlainOutcome) -> PlainOutcome {
        let attempt = self.open.remove(index);
        let failure = outcome.as_ref().err();
        self.has_reached_instance |= failure.is_none_or(AttemptFailure::has_reached_instance);
        let may_have_run = failure.is_none_or(|failure| !failure.is_not_run());
        self.decisions.record_end(attempt.number, may_have_run);
        let text = outcome
            .as_ref()
            .map_or_else(ToSmolStr::to_smolstr, |(head, _)| head.status.to_smolstr());
        self.log_outcome(&attempt, &text);
        if let Some(stage) = failure.and_then(AttemptFailure::stage_of_lost_connection) {
            self.gateway
                .check_instance(self.request, &attempt.target, stage);
        }
        outcome
    }

    /// Checks the links to the instances that have not responded for a while.
    fn check_links(&mut self) {
        let now = Instant::now();
        for attempt in &mut self.open {
            if attempt
                .check_at
                .take_if(|check_at| *check_at <= now)
                .is_some()
            {
                self.gateway.check_link(&attempt.target);
            }
        }
    }

    fn record_silence(&mut self) {
        let now = Instant::now();
        for index in 0..self.open.len() {
            let attempt = &mut self.open[index];
            if attempt.is_silent || attempt.silent_at.is_none_or(|silent_at| now < silent_at) {
                continue;
            }
            attempt.is_silent = true;
            self.decisions.record_silence(attempt.number);
            self.gateway.pool.close_idle(attempt.target.address);
            let load = self.gateway.loads.load(&attempt.target.instance);
            load.record_outcome(true);
            load.suspect(Epoch(0), now);
            self.log_outcome(&self.open[index], "no response in time");
        }
    }

    fn log_outcome(&self, attempt: &PlainAttempt<'_>, outcome: &str) {
        let place = attempt.place.get();
        info!(
            request:% = self.request.head.id, route:% = self.request.route.name,
            instance:% = attempt.target.instance, tries = attempt.number.get() + 1,
            open = self.open.len(), connection = place.map(|it| it.connection.get()),
            exchange = place.map(|it| it.exchange),
            node = place.and_then(|it| it.node.as_ref()).map(NodeId::as_str),
            age_ms = self.request.age_ms(Instant::now()).get(),
            budget = attempt.budget.map(|it| it.to_smolstr()).as_deref(), outcome = outcome;
            "request sent"
        );
    }
}
