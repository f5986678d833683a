//! The attempts of one request for a stream, which limit how often it may run.

use std::sync::Arc;

use cuminlb_types::prelude::*;
use log::info;
use smol_str::ToSmolStr;
use tokio::time::Instant;

use super::admitted_request::AdmittedRequest;
use super::attempt_failure::AttemptFailure;
use super::open_stream::{OpenedResponse, open_stream};
use super::target::Target;
use crate::gateway::Gateway;

/// The attempts of one request for a stream.
#[derive(Debug)]
pub(super) struct StreamAttempts {
    max_runs: u32,
    may_retry: bool,
    /// The instances that have been tried.
    instances: Vec<InstanceId>,
    /// The attempts that may have run.
    runs: u32,
    has_reached_instance: bool,
}

impl StreamAttempts {
    pub(super) const fn new(max_runs: u32, may_retry: bool) -> Self {
        Self {
            max_runs,
            may_retry,
            instances: Vec::new(),
            runs: 0,
            has_reached_instance: false,
        }
    }

    /// Returns the instances that have been tried.
    pub(super) fn instances(&self) -> &[InstanceId] {
        &self.instances
    }

    /// Returns whether an instance has received the request.
    pub(super) const fn has_reached_instance(&self) -> bool {
        self.has_reached_instance
    }

    /// Returns whether the request may have run.
    pub(super) const fn may_have_run(&self) -> bool {
        self.runs > 0
    }

    /// Returns whether the request may run once more.
    pub(super) const fn may_run_again(&self) -> bool {
        self.runs == 0 || self.may_retry && self.runs < self.max_runs
    }

    /// Returns whether the request may not run again after its next attempt.
    const fn is_last_attempt(&self) -> bool {
        !self.may_retry || self.runs + 1 >= self.max_runs
    }

    /// Makes one attempt to open the stream.
    pub(super) async fn open(
        &mut self,
        gateway: &Arc<Gateway>,
        request: &AdmittedRequest,
        target: Target,
        resume_after: Option<EventId>,
    ) -> Result<OpenedResponse, AttemptFailure> {
        self.instances.push(target.instance.clone());
        let sent_at = Instant::now();
        let open_result = open_stream(
            gateway,
            request,
            target.clone(),
            resume_after,
            self.is_last_attempt(),
        )
        .await;
        let failure = open_result.as_ref().err();
        self.has_reached_instance |= failure.is_none_or(AttemptFailure::has_reached_instance);
        if failure.is_none_or(|failure| !failure.is_not_run()) {
            self.runs += 1;
        }
        if let Some(stage) = failure.and_then(AttemptFailure::stage_of_lost_connection) {
            gateway.check_instance(request, &target, stage);
        }
        let outcome = match &open_result {
            Ok(OpenedResponse::Stream(..)) => "stream".into(),
            Ok(OpenedResponse::Other(response)) => response.status().as_str().to_smolstr(),
            Err(failure) => failure.to_smolstr(),
        };
        let now = Instant::now();
        info!(
            request:% = request.head.id, route:% = request.route.name, instance:% = target.instance,
            group = target.group.as_ref().map(|(group, _)| group.as_str()),
            resume_after = resume_after.map(EventId::get), tries = self.instances.len(),
            age_ms = request.age_ms(now).get(),
            waited_ms = Millis::from(now.duration_since(sent_at)).get(), outcome:% = outcome;
            "stream asked for"
        );
        open_result
    }
}
