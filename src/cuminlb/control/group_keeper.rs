//! Owns one group: takes its lease, watches its members and reports those that are missing.

use std::net::SocketAddr;
use std::sync::Arc;

use cuminlb_config::ServiceKind;
use cuminlb_events::{DissolveCause, EventKind};
use cuminlb_fleet::lease::HeldLease;
use cuminlb_fleet::rows::{GroupRecord, GroupState, RowKeys};
use cuminlb_platform::InstanceState;
use cuminlb_types::prelude::*;
use cuminlb_upstream::{EngineOrder, EngineReport, GroupMember, Membership, OrderKind};
use futures_util::future::join_all;
use log::{debug, info, warn};
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::plan_transactions::PlanTransactions;
use super::{LeaseSeat, SeatError};
use crate::node::{Node, OwnedGroup, Proof};

/// The time without any proof after which a member is reported missing, in proof ages.
const MISSING_AFTER_PROOF_AGES: u32 = 2;

/// Takes the lease of a group whenever it is free and keeps the group while it holds.
pub(super) async fn keep_group(
    node: Arc<Node>,
    service: ServiceId,
    group: GroupId,
    rank: usize,
    stop: CancellationToken,
) {
    let mut seat = LeaseSeat::new(Arc::clone(&node), RowKeys::group_lease(&group));
    loop {
        let acquired = tokio::select! {
            () = stop.cancelled() => return,
            acquired = acquire(&node, &mut seat, &group, rank) => acquired,
        };
        info!(
            "group {group} is owned with fencing number {}",
            acquired.fencing
        );
        let lease = RowKeys::group_lease(&group);
        node.events.record(EventKind::LeaseAcquired {
            lease,
            fencing: acquired.fencing,
        });
        let keeper = Keeper {
            node: Arc::clone(&node),
            service: service.clone(),
            group: group.clone(),
        };
        let held = keeper.keep(&mut seat, acquired, &stop).await;
        node.owned.remove(&group);
        node.group_trail.forget(&group);
        if stop.is_cancelled() {
            seat.release(held).await;
            return;
        }
        warn!("group {group} is no longer owned: its lease was lost");
        seat.note_lost(held.fencing, "not renewed in time");
    }
}

/// Waits until this node has taken the lease; lower ranks look less often, so that the first
/// choice is usually faster.
async fn acquire(node: &Node, seat: &mut LeaseSeat, group: &GroupId, rank: usize) -> HeldLease {
    let period = node.settings.control.poll_period_ms.duration();
    let rank = u32::try_from(rank).unwrap_or(u32::MAX);
    tokio::time::sleep(period * rank).await;
    loop {
        match seat.try_acquire().await {
            Ok(held) => return held,
            Err(SeatError::HeldBy { holder }) => node.owned.note_owner(group, holder),
            Err(error) => debug!("the lease of group {group} can't be looked at: {error}"),
        }
        tokio::time::sleep(period).await;
    }
}

struct Keeper {
    node: Arc<Node>,
    service: ServiceId,
    group: GroupId,
}

impl Keeper {
    /// Renews the lease and watches the members until the lease is lost or `stop` is cancelled.
    ///
    /// Both go on side by side, so that a slow table does not stop the watch.
    async fn keep(
        &self,
        seat: &mut LeaseSeat,
        acquired: HeldLease,
        stop: &CancellationToken,
    ) -> HeldLease {
        let lease = watch::Sender::new(acquired);
        let watching = async {
            loop {
                self.watch(lease.subscribe()).await;
            }
        };
        tokio::select! {
            () = renew_until_lost(&self.node, seat, &lease, stop) => {}
            () = watching => {}
        }
        *lease.borrow()
    }

    /// Probes the members once a period for as long as the roster does not change the group.
    async fn watch(&self, lease: watch::Receiver<HeldLease>) {
        let control = &self.node.settings.control;
        let held = *lease.borrow();
        let Some(owned) = self.current(lease) else {
            tokio::time::sleep(control.probe_period_ms.duration()).await;
            return;
        };
        let round_started = Instant::now();
        let probes = owned
            .record
            .members
            .iter()
            .map(|member| self.probe(&owned, member, held));
        join_all(probes).await;
        self.node.group_trail.observe(&self.node, &owned);
        self.report_missing(&owned, held).await;
        let next = round_started + control.probe_period_ms.duration();
        tokio::time::sleep_until(next).await;
    }

    /// Returns the owned group at the epoch of the roster, starting anew at each new epoch.
    fn current(&self, lease: watch::Receiver<HeldLease>) -> Option<Arc<OwnedGroup>> {
        let view = self.node.view.borrow();
        let record = view.group(&self.service, &self.group)?;
        if record.state != GroupState::Intact {
            self.node.owned.remove(&self.group);
            return None;
        }
        if let Some(owned) = self.node.owned.get(&self.group)
            && owned.record == *record
        {
            return Some(owned);
        }
        let owned = Arc::new(OwnedGroup::new(
            self.service.clone(),
            record.clone(),
            lease,
            self.node.knowledge.watch_cover(),
        ));
        self.node.owned.insert(Arc::clone(&owned));
        Some(owned)
    }

    async fn probe(&self, owned: &OwnedGroup, member: &InstanceId, held: HeldLease) {
        let Some(address) = self.address(member) else {
            return;
        };
        let sent_at = Instant::now();
        let report = match self.node.engines.report(address).await {
            Ok(report) => report,
            Err(error) => {
                debug!(
                    "member {member} of group {} gave no report: {error}",
                    self.group
                );
                return;
            }
        };
        if !self.is_model() || is_member(&report, &owned.record) {
            let was_serving =
                owned.is_serving(sent_at, self.node.settings.control.proof_max_age_ms);
            let EngineReport {
                incarnation,
                warm,
                running,
                ..
            } = report;
            owned.note_proof(
                member,
                Proof {
                    at: sent_at,
                    incarnation,
                    warm,
                    running,
                },
            );
            self.note_serving(owned, was_serving);
        } else {
            self.order_join(owned, address, member, held).await;
        }
    }

    fn note_serving(&self, owned: &OwnedGroup, was_serving: bool) {
        let max_age_ms = self.node.settings.control.proof_max_age_ms;
        if !was_serving && owned.is_serving(Instant::now(), max_age_ms) {
            let GroupRecord {
                id: group, epoch, ..
            } = owned.record.clone();
            self.node.events.record(EventKind::GroupServing {
                service: self.service.clone(),
                group,
                epoch,
            });
        }
    }

    async fn order_join(
        &self,
        owned: &OwnedGroup,
        address: SocketAddr,
        member: &InstanceId,
        held: HeldLease,
    ) {
        if !self.node.is_lease_valid(&held) {
            return;
        }
        let members = owned.record.members.iter().filter_map(|instance| {
            let address = self.address(instance)?;
            Some(GroupMember {
                instance: instance.clone(),
                address,
            })
        });
        let GroupRecord {
            id: group, epoch, ..
        } = owned.record.clone();
        let membership = Membership { group, epoch };
        let kind = OrderKind::Join {
            membership,
            members: members.collect(),
        };
        let order = EngineOrder {
            fencing: held.fencing,
            kind,
        };
        if let Err(error) = self.node.engines.order(address, &order).await {
            debug!("member {member} did not join group {}: {error}", self.group);
        }
    }

    /// Marks the group broken in the table when members are missing or leaving.
    async fn report_missing(&self, owned: &OwnedGroup, held: HeldLease) {
        let missing = self.missing_members(owned);
        let Some((_, cause)) = missing.first() else {
            return;
        };
        let cause = cause.clone();
        let missing = missing.into_iter().map(|(member, _)| member).collect();
        let plans = PlanTransactions::new(&self.node, &self.service);
        match plans
            .mark_broken(&owned.record, missing, held.version)
            .await
        {
            Ok(true) => {
                let GroupRecord {
                    id: group, epoch, ..
                } = owned.record.clone();
                self.node.events.record(EventKind::GroupDissolved {
                    service: self.service.clone(),
                    group,
                    epoch,
                    cause,
                });
            }
            Ok(false) => {}
            Err(error) => debug!("group {} was not marked broken yet: {error}", self.group),
        }
    }

    fn missing_members(&self, owned: &OwnedGroup) -> Vec<(InstanceId, DissolveCause)> {
        let control = &self.node.settings.control;
        let limit = control.proof_max_age_ms.duration() * MISSING_AFTER_PROOF_AGES;
        let mut found = Vec::new();
        for member in &owned.record.members {
            let instance = member.clone();
            let last = owned
                .proof(member)
                .map_or(owned.owned_since, |proof| proof.at);
            if self.is_leaving(member) {
                found.push((instance.clone(), DissolveCause::MemberLeaving { instance }));
            } else if last.elapsed() > limit {
                found.push((instance.clone(), DissolveCause::MemberMissing { instance }));
            }
        }
        found
    }

    fn is_leaving(&self, member: &InstanceId) -> bool {
        let view = self.node.view.borrow();
        view.instance(member)
            .is_some_and(|record| record.state == InstanceState::Leaving)
    }

    fn is_model(&self) -> bool {
        let view = self.node.view.borrow();
        let service = view.service(&self.service);
        service.is_some_and(|service| matches!(service.kind, ServiceKind::Model(_)))
    }

    fn address(&self, member: &InstanceId) -> Option<SocketAddr> {
        self.node
            .view
            .borrow()
            .instance(member)
            .map(|record| record.address)
    }
}

/// Renews the lease once a period until it has run out, another node holds it, or `stop` is
/// cancelled.
async fn renew_until_lost(
    node: &Node,
    seat: &mut LeaseSeat,
    lease: &watch::Sender<HeldLease>,
    stop: &CancellationToken,
) {
    let period = seat.terms().renewal_period_ms().duration();
    while node.is_lease_valid(&lease.borrow()) {
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(period) => {}
        }
        let held = *lease.borrow();
        match seat.renew(held).await {
            Ok(renewed) => {
                lease.send_replace(renewed);
            }
            Err(SeatError::HeldBy { .. }) => return,
            Err(error) => debug!("no renewal yet: {error}"),
        }
    }
}

fn is_member(report: &EngineReport, record: &GroupRecord) -> bool {
    let is_this =
        |membership: &Membership| membership.group == record.id && membership.epoch == record.epoch;
    report.membership.as_ref().is_some_and(is_this)
}
