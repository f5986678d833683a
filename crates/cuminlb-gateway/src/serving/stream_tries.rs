//! [`StreamTries`].

use std::sync::Arc;

use cuminlb_types::prelude::*;
use log::info;
use smol_str::ToSmolStr;
use tokio::time::Instant;

use super::ask::Ask;
use super::open_stream::{Opened, open_stream};
use super::target::Target;
use super::try_result::TryFailure;
use crate::gateway::Gateway;

/// The sends of one request for a stream.
#[derive(Debug)]
pub(super) struct StreamTries {
    max_runs: u32,
    may_retry: bool,
    /// The instances that have been tried.
    instances: Vec<InstanceId>,
    /// The sends that may have run.
    runs: u32,
    has_arrived: bool,
}

impl StreamTries {
    pub(super) const fn new(max_runs: u32, may_retry: bool) -> Self {
        Self {
            max_runs,
            may_retry,
            instances: Vec::new(),
            runs: 0,
            has_arrived: false,
        }
    }

    /// Returns the instances that have been tried.
    pub(super) fn instances(&self) -> &[InstanceId] {
        &self.instances
    }

    /// Tells whether an instance has had the request.
    pub(super) const fn has_arrived(&self) -> bool {
        self.has_arrived
    }

    /// Tells whether the request may have run.
    pub(super) const fn may_have_run(&self) -> bool {
        self.runs > 0
    }

    /// Tells whether the request may run once more.
    pub(super) const fn may_run_again(&self) -> bool {
        self.runs == 0 || self.may_retry && self.runs < self.max_runs
    }

    /// Tells whether the request may not run again after its next send.
    const fn is_last(&self) -> bool {
        !self.may_retry || self.runs + 1 >= self.max_runs
    }

    /// Sends the request once.
    pub(super) async fn open(
        &mut self,
        gateway: &Arc<Gateway>,
        ask: &Ask,
        target: Target,
        resume_after: Option<EventId>,
    ) -> Result<Opened, TryFailure> {
        self.instances.push(target.instance.clone());
        let sent_at = Instant::now();
        let opened = open_stream(gateway, ask, target.clone(), resume_after, self.is_last()).await;
        match &opened {
            Ok(_) | Err(TryFailure::Unknown { .. } | TryFailure::Silent) => {
                self.has_arrived = true;
                self.runs += 1;
            }
            Err(TryFailure::NotRun { has_arrived, .. }) => self.has_arrived |= has_arrived,
        }
        let outcome = match &opened {
            Ok(Opened::Stream(..)) => "stream".into(),
            Ok(Opened::Other(answer)) => answer.status().as_str().to_smolstr(),
            Err(failure) => failure.to_smolstr(),
        };
        let now = Instant::now();
        info!(
            request:% = ask.head.id, route:% = ask.route.name, instance:% = target.instance,
            group = target.group.as_ref().map(|(group, _)| group.as_str()),
            resume_after = resume_after.map(EventId::get), tries = self.instances.len(),
            age_ms = ask.age_ms(now).get(),
            waited_ms = Millis::from(now.duration_since(sent_at)).get(), outcome:% = outcome;
            "stream asked for"
        );
        opened
    }
}
