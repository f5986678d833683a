//! [`GroupWatch`].

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

use super::member_probe::MemberProbe;
use super::member_watch::MemberWatch;
use super::plan_transactions::PlanTransactions;
use super::probe_outcome::ProbeOutcome;
use crate::node::{Node, OwnedGroup};

/// Watches the members of an owned group, and ends the epoch when it can't go on.
pub(super) struct GroupWatch {
    node: Arc<Node>,
    service: ServiceId,
    group: GroupId,
    lease: watch::Receiver<HeldLease>,
    follows_idle: bool,
    members: HashMap<InstanceId, MemberWatch>,
    drain_started_at: Option<Instant>,
}

impl GroupWatch {
    /// Prepares to watch a group under a lease; `follows_idle` tells that the owner before gave it
    /// up with nothing under way.
    pub(super) fn new(
        node: Arc<Node>,
        service: ServiceId,
        group: GroupId,
        lease: watch::Receiver<HeldLease>,
        follows_idle: bool,
    ) -> Self {
        Self {
            node,
            service,
            group,
            lease,
            follows_idle,
            members: HashMap::new(),
            drain_started_at: None,
        }
    }

    /// Probes each member once and waits for the rest of the period.
    pub(super) async fn round(&mut self) {
        let started_at = Instant::now();
        if let Some(owned) = self.current() {
            let members = owned.record.members.iter();
            let probe = MemberProbe::new(&self.node, &owned);
            let probes = members.map(|member| probe.run(member));
            let outcomes = join_all(probes).await;
            self.note_outcomes(&owned, &outcomes, probe.trusted_from());
            self.node.group_events.observe(&self.node, &owned);
            self.end_epoch(&owned).await;
        }
        let period = self.node.settings.control.probe_period_ms.duration();
        tokio::time::sleep_until(started_at + period).await;
    }

    /// Returns the owned group at the epoch of the roster, starting anew at each new epoch.
    fn current(&mut self) -> Option<Arc<OwnedGroup>> {
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
            self.node.knowledge.watch_cover(),
        );
        let owned = Arc::new(owned);
        self.members.clear();
        self.drain_started_at = None;
        self.node
            .owned
            .insert(Arc::clone(&owned), self.follows_idle);
        self.follows_idle = false;
        Some(owned)
    }

    fn note_outcomes(
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
                .or_insert_with(|| MemberWatch::new(trusted_from))
                .note(*outcome, max_age_ms);
        }
    }

    /// Ends the epoch when a member has failed, or when a drain is over.
    async fn end_epoch(&mut self, owned: &OwnedGroup) {
        let leaving = self.leaving_members(owned);
        let mut faults = self.faults(owned);
        if faults.is_empty() {
            let roster_state = self.roster_state();
            if !leaving.is_empty() && roster_state == Some(GroupState::Intact) {
                owned.start_draining();
                self.mark(owned, GroupState::Draining).await;
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
            if !faults.iter().any(|(member, _)| *member == instance) {
                let cause = DissolveCause::MemberLeaving {
                    instance: instance.clone(),
                };
                faults.push((instance, cause));
            }
        }
        let Some(cause) = faults.first().map(|(_, cause)| cause.clone()) else {
            self.mark(owned, GroupState::Drained).await;
            return;
        };
        let missing = faults.into_iter().map(|(member, _)| member).collect();
        if self.mark(owned, GroupState::Broken { missing }).await {
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

    /// Tells whether what was in flight has ended, or has had its time.
    fn is_drained(&mut self, owned: &OwnedGroup) -> bool {
        let settings = &self.node.settings;
        let drained_for = self
            .drain_started_at
            .get_or_insert_with(Instant::now)
            .elapsed();
        // Reports lag, so an idle member is believed only after a while.
        let settled = drained_for >= settings.control.proof_max_age_ms.duration();
        let timed_out = drained_for >= settings.limits.drain_timeout_ms.duration();
        (settled && owned.is_idle()) || timed_out
    }

    async fn mark(&self, owned: &OwnedGroup, state: GroupState) -> bool {
        let plans = PlanTransactions::new(&self.node, &self.service);
        let lease_version = owned.lease().version;
        match plans.mark(&owned.record, state, lease_version).await {
            Ok(committed) => committed,
            Err(error) => {
                debug!("group {} was not marked yet: {error}", self.group);
                false
            }
        }
    }

    fn faults(&self, owned: &OwnedGroup) -> Vec<(InstanceId, DissolveCause)> {
        let now = Instant::now();
        let max_age_ms = self.node.settings.control.proof_max_age_ms;
        let members = owned.record.members.iter();
        let faults = members.filter_map(|member| {
            let fault = self.members.get(member)?.fault(member, now, max_age_ms)?;
            Some((member.clone(), fault))
        });
        faults.collect()
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
