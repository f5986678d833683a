//! Plans the groups of one service while this node holds the plan lease of the service.

use std::collections::HashSet;
use std::sync::Arc;

use cuminlb_events::EventKind;
use cuminlb_fleet::lease::HeldLease;
use cuminlb_fleet::planning::{PlanInput, PlanStep, RosterChange, choose_spares, plan_groups};
use cuminlb_fleet::rows::{GroupRecord, GroupState, Roster, RowKeys};
use cuminlb_platform::{ListRevision, TableError};
use cuminlb_types::prelude::*;
use cuminlb_upstream::{EngineOrder, Membership, OrderKind};
use futures_util::future::join_all;
use log::{debug, warn};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::plan_candidates::{list_candidates, probe_candidates};
use super::plan_transactions::PlanTransactions;
use super::weight_loads::WeightLoads;
use super::{LeaseError, LeaseManager};
use crate::node::{FleetView, Node};

/// The time between two checks of the spares while there is nothing else to do.
const SPARE_CHECK_PERIOD_MS: Millis = Millis(20_000);

/// Acquires the plan lease of a service whenever it is free, and plans while the lease is valid.
///
/// Plans once per lease renewal, and immediately when the groups, the configuration or the list of
/// instances change.
pub(super) async fn plan_service(node: Arc<Node>, service: ServiceId, stop: CancellationToken) {
    let lease = RowKeys::plan_lease(&service);
    let mut lease_manager = LeaseManager::new(Arc::clone(&node), lease.clone());
    let period = lease_manager.timing().renewal_period_ms().duration();
    let mut view = node.view.subscribe();
    let mut planner = Planner {
        node: Arc::clone(&node),
        service: service.clone(),
        loads: WeightLoads::default(),
        check_spares_at: Instant::now(),
    };
    let mut held: Option<HeldLease> = None;
    let mut renew_at = Instant::now();
    loop {
        if Instant::now() >= renew_at {
            renew_at = Instant::now() + period;
            held = renew_or_acquire(&node, &mut lease_manager, held, &lease).await;
        }
        held = held.filter(|lease| node.is_lease_valid(lease));
        let planned = PlanVersions::of(&view.borrow_and_update(), &service);
        if let Some(lease) = held
            && let Err(error) = planner.plan(lease).await
        {
            warn!("failed to plan the groups of {service}: {error}");
        }
        let changed = view.wait_for(|view| PlanVersions::of(view, &service) != planned);
        tokio::select! {
            () = stop.cancelled() => break,
            () = tokio::time::sleep_until(renew_at) => {}
            _ = changed, if held.is_some() => {}
        }
    }
    if let Some(lease) = held {
        lease_manager.release(lease, false).await;
    }
}

/// Renews the lease if it is held, and tries to acquire it otherwise.
async fn renew_or_acquire(
    node: &Node,
    lease_manager: &mut LeaseManager,
    held: Option<HeldLease>,
    lease: &LeaseName,
) -> Option<HeldLease> {
    let outcome = match held {
        None => lease_manager.try_acquire().await,
        Some(held) => lease_manager.renew(held).await,
    };
    match outcome {
        Ok(held_now) => {
            if held.is_none() {
                let lease = lease.clone();
                let fencing = held_now.fencing;
                node.events
                    .record(EventKind::LeaseAcquired { lease, fencing });
            }
            Some(held_now)
        }
        Err(LeaseError::HeldBy { .. }) => None,
        Err(error) => {
            debug!("failed to renew or acquire lease {lease}: {error}");
            held
        }
    }
}

/// The versions of the inputs of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PlanVersions {
    roster: Option<RowVersion>,
    config: ConfigVersion,
    listing: ListRevision,
}

impl PlanVersions {
    fn of(view: &FleetView, service: &ServiceId) -> Self {
        Self {
            roster: view.rosters.get(service).map(|roster| roster.row),
            config: view.config_version(),
            listing: view.listing.revision,
        }
    }
}

/// Plans the groups of one service.
struct Planner {
    node: Arc<Node>,
    service: ServiceId,
    loads: WeightLoads,
    check_spares_at: Instant,
}

impl Planner {
    /// Executes the steps of the plan, each in its own transaction, while the lease is valid.
    async fn plan(&mut self, held: HeldLease) -> Result<(), TableError> {
        let node = Arc::clone(&self.node);
        let service = self.service.clone();
        let plans = PlanTransactions::new(&node, &service);
        let mut changes = Vec::new();
        for step in self.decide_steps(&plans).await? {
            if !self.node.is_lease_valid(&held) {
                break;
            }
            let Some(change) = plans.execute_step(&step).await? else {
                continue;
            };
            if matches!(step, PlanStep::Form { .. } | PlanStep::Repair { .. }) {
                self.loads.start(&change);
            }
            changes.push(change);
        }
        self.release_engines(&changes).await;
        Ok(())
    }

    /// Decides the steps from a fresh roster. Instances are probed only if the platform's list
    /// alone gives a reason for a step, or if a check of the spares is due.
    async fn decide_steps(
        &mut self,
        plans: &PlanTransactions<'_>,
    ) -> Result<Vec<PlanStep>, TableError> {
        let view = self.node.view();
        let (Some(fleet), Some(service)) = (view.spec(), view.service(&self.service)) else {
            return Ok(Vec::new());
        };
        let roster = plans.read_roster().await?;
        let roster = roster.map(|row| row.value).unwrap_or_default();
        let listed = list_candidates(&view, &self.service);
        let mut input = PlanInput {
            fleet,
            service,
            roster: &roster,
            candidates: &listed,
            load_budget: usize::MAX,
        };
        let has_steps = !plan_groups(&input).is_empty();
        if !has_steps && Instant::now() < self.check_spares_at {
            return Ok(Vec::new());
        }
        self.loads.refresh(&self.node, &roster).await;
        let probed = probe_candidates(&self.node, &view, &roster, listed.clone()).await;
        input.candidates = &probed;
        input.load_budget = self.loads.budget();
        if !has_steps && self.loads.is_idle() {
            self.check_spares_at = Instant::now() + SPARE_CHECK_PERIOD_MS.duration();
            self.load_spares(&view, &roster, &choose_spares(&input))
                .await;
        }
        Ok(plan_groups(&input))
    }

    /// Orders spares to load the weights, so that a later repair need not wait for the load.
    async fn load_spares(&self, view: &FleetView, roster: &Roster, spares: &[InstanceId]) {
        let order = EngineOrder {
            fencing: roster.free_order_fencing(),
            kind: OrderKind::Load,
        };
        let records = spares.iter().filter_map(|spare| view.instance(spare));
        let orders = records.map(|record| self.node.engines.order(record.address, &order));
        for outcome in join_all(orders).await {
            if let Err(error) = outcome {
                debug!(
                    "failed to order a spare of {} to load: {error}",
                    self.service
                );
            }
        }
    }

    /// Orders the engines that were freed and not used again to leave their groups.
    ///
    /// An engine that does not receive the order stays in a group for which no node grants slots,
    /// until it joins another group.
    async fn release_engines(&self, changes: &[RosterChange]) {
        let joined: HashSet<&InstanceId> =
            changes.iter().flat_map(|change| &change.joined).collect();
        let view = self.node.view();
        let mut orders = Vec::new();
        let is_ended = |change: &&RosterChange| change.group.state != GroupState::Intact;
        for change in changes.iter().filter(is_ended) {
            let missing = change.group.state.missing();
            let freed = change.freed.iter();
            for member in freed.filter(|id| !missing.contains(id) && !joined.contains(id)) {
                if let Some(record) = view.instance(member) {
                    orders.push((record.address, leave_order(&change.group)));
                }
            }
        }
        let orders = orders
            .iter()
            .map(|(address, order)| self.node.engines.order(*address, order));
        for outcome in join_all(orders).await {
            if let Err(error) = outcome {
                debug!(
                    "failed to order an engine of {} to leave its group: {error}",
                    self.service
                );
            }
        }
    }
}

/// Returns the order to leave a dissolved group. It has the highest fencing number of its epoch, so
/// that the engine rejects any later order of the group's last owner.
fn leave_order(group: &GroupRecord) -> EngineOrder {
    EngineOrder {
        fencing: group.order_fencing(FencingNumber(u64::MAX)),
        kind: OrderKind::Leave {
            membership: Membership {
                group: group.id.clone(),
                epoch: group.epoch,
            },
        },
    }
}
