//! Monitors the members of an owned group and ends the epoch on a failure or after a drain.

use std::collections::HashMap;
use std::sync::Arc;

use cuminlb_events::{DissolveCause, EventKind};
use cuminlb_fleet::lease::HeldLease;
use cuminlb_fleet::rows::GroupState;
use cuminlb_platform::InstanceState;
use cuminlb_types::prelude::*;
use futures_util::future::join_all;
use log::debug;
use tokio::sync::watch;
use tokio::time::Instant;

use super::member_health::MemberHealth;
use super::member_probe::MemberProbe;
use super::plan_transactions::PlanTransactions;
use super::probe_outcome::ProbeOutcome;
use crate::node::{Node, OwnedGroup};

/// Probes the members of an owned group, and ends its epoch when the group cannot continue.
pub(super) struct GroupMonitor {
    node: Arc<Node>,
    service: ServiceId,
    group: GroupId,
    lease: watch::Receiver<HeldLease>,
    prior_holder_idle: bool,
    members: HashMap<InstanceId, MemberHealth>,
    drain_started_at: Option<Instant>,
}

impl GroupMonitor {
    /// Creates a monitor for a group under a lease. `prior_holder_idle` states that the previous
    /// owner released the lease with no request in flight.
    pub(super) fn new(
        node: Arc<Node>,
        service: ServiceId,
        group: GroupId,
        lease: watch::Receiver<HeldLease>,
        prior_holder_idle: bool,
    ) -> Self {
        Self {
            node,
            service,
            group,
            lease,
            prior_holder_idle,
            members: HashMap::new(),
            drain_started_at: None,
        }
    }

    /// Probes each member once and waits for the rest of the probe period.
    pub(super) async fn run_round(&mut self) {
        let started_at = Instant::now();
        if let Some(owned) = self.owned_at_roster_epoch() {
            let members = owned.record.members.iter();
            let probe = MemberProbe::new(&self.node, &owned);
            let probes = members.map(|member| probe.run(member));
            let outcomes = join_all(probes).await;
            self.record_outcomes(&owned, &outcomes, probe.trusted_from());
            self.node.group_events.observe(&self.node, &owned);
            self.end_epoch_if_due(&owned).await;
        }
        let period = self.node.settings.control.probe_period_ms.duration();
        tokio::time::sleep_until(started_at + period).await;
    }

    /// Returns the owned group at the epoch in the roster, with its state reset at each new epoch;
    /// `None` where the roster lacks the group or its epoch has ended.
    fn owned_at_roster_epoch(&mut self) -> Option<Arc<OwnedGroup>> {
        let view = self.node.view.borrow();
        let record = view.group(&self.service, &self.group)?;
        match record.state {
            GroupState::Intact | GroupState::Draining => {}
            GroupState::Drained | GroupState::Broken { .. } => {
                self.node.owned.remove(&self.group);
                return None;
            }
        }
        if let Some(owned) = self.node.owned.get(&self.group)
            && owned.record.epoch == record.epoch
        {
            return Some(owned);
        }
        let owned = OwnedGroup::new(
            self.service.clone(),
            record.clone(),
            self.lease.clone(),
            self.node.freshness.subscribe_extension(),
        );
        let owned = Arc::new(owned);
        self.members.clear();
        self.drain_started_at = None;
        self.node
            .owned
            .insert(Arc::clone(&owned), self.prior_holder_idle);
        self.prior_holder_idle = false;
        Some(owned)
    }

    /// Updates the health of each member, and withdraws the proof of a member that refused the
    /// connection, that has restarted, or that has yet to join.
    fn record_outcomes(
        &mut self,
        owned: &OwnedGroup,
        outcomes: &[ProbeOutcome],
        trusted_from: Instant,
    ) {
        let max_age_ms = self.node.settings.control.proof_max_age_ms;
        for (member, outcome) in owned.record.members.iter().zip(outcomes) {
            match outcome {
                ProbeOutcome::Refused | ProbeOutcome::Restarted | ProbeOutcome::Joining => {
                    owned.withdraw_proof(member);
                }
                ProbeOutcome::Proved { .. } | ProbeOutcome::Silent => {}
            }
            self.members
                .entry(member.clone())
                .or_insert_with(|| MemberHealth::new(trusted_from))
                .record(*outcome, max_age_ms);
        }
    }

    /// Ends the epoch when a member has failed or a drain is over. Starts a drain when a member is
    /// leaving.
    async fn end_epoch_if_due(&mut self, owned: &OwnedGroup) {
        let leaving = self.leaving_members(owned);
        let mut failures = self.failures(owned);
        if failures.is_empty() {
            let roster_state = self.roster_state();
            if !leaving.is_empty() && roster_state == Some(GroupState::Intact) {
                owned.start_draining();
                self.set_state(owned, GroupState::Draining).await;
            }
            if leaving.is_empty() && roster_state != Some(GroupState::Draining) {
                return;
            }
            owned.start_draining();
            if !self.is_drained(owned) {
                return;
            }
        }
        for instance in leaving {
            if !failures.iter().any(|(member, _)| *member == instance) {
                let cause = DissolveCause::MemberLeaving {
                    instance: instance.clone(),
                };
                failures.push((instance, cause));
            }
        }
        let Some(cause) = failures.first().map(|(_, cause)| cause.clone()) else {
            self.set_state(owned, GroupState::Drained).await;
            return;
        };
        let missing = failures.into_iter().map(|(member, _)| member).collect();
        if self.set_state(owned, GroupState::Broken { missing }).await {
            let group = owned.record.id.clone();
            let epoch = owned.record.epoch;
            self.node.events.record(EventKind::GroupDissolved {
                service: self.service.clone(),
                group,
                epoch,
                cause,
            });
        }
    }

    /// Returns whether all requests have ended, or the drain timeout has passed.
    fn is_drained(&mut self, owned: &OwnedGroup) -> bool {
        let settings = &self.node.settings;
        let drained_for = self
            .drain_started_at
            .get_or_insert_with(Instant::now)
            .elapsed();
        // A report lags behind the load, so a member that reports no request counts as idle only
        // after the maximum age of a proof.
        let reports_are_current = drained_for >= settings.control.proof_max_age_ms.duration();
        let timed_out = drained_for >= settings.limits.drain_timeout_ms.duration();
        (reports_are_current && owned.is_idle()) || timed_out
    }

    /// Sets the state of the group in the roster; returns whether the change was committed.
    async fn set_state(&self, owned: &OwnedGroup, state: GroupState) -> bool {
        let plans = PlanTransactions::new(&self.node, &self.service);
        let lease_version = owned.lease().version;
        match plans
            .change_state(&owned.record, state, lease_version)
            .await
        {
            Ok(committed) => committed,
            Err(error) => {
                debug!(
                    "failed to set the state of group {} in the roster: {error}",
                    self.group
                );
                false
            }
        }
    }

    fn failures(&self, owned: &OwnedGroup) -> Vec<(InstanceId, DissolveCause)> {
        let now = Instant::now();
        let max_age_ms = self.node.settings.control.proof_max_age_ms;
        let members = owned.record.members.iter();
        let failures = members.filter_map(|member| {
            let cause = self.members.get(member)?.failure(member, now, max_age_ms)?;
            Some((member.clone(), cause))
        });
        failures.collect()
    }

    fn leaving_members(&self, owned: &OwnedGroup) -> Vec<InstanceId> {
        let view = self.node.view.borrow();
        let is_leaving = |member: &&InstanceId| {
            view.instance(member)
                .is_some_and(|record| record.state == InstanceState::Leaving)
        };
        let members = owned.record.members.iter();
        members.filter(is_leaving).cloned().collect()
    }

    fn roster_state(&self) -> Option<GroupState> {
        let view = self.node.view.borrow();
        let record = view.group(&self.service, &self.group)?;
        Some(record.state.clone())
    }
}
