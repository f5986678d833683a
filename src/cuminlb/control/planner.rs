//! Plans the groups of one service while this node holds the lease for it.

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

use super::plan_inventory::{list_candidates, probe_candidates};
use super::plan_transactions::PlanTransactions;
use super::weight_loads::WeightLoads;
use super::{LeaseSeat, SeatError};
use crate::node::{FleetView, Node};

/// The time from one look at the spares to the next.
const SPARE_CHECK_PERIOD_MS: Millis = Millis(20_000);

/// Takes the lease of a service's plan whenever it is free, and plans while it holds.
///
/// It plans once a renewal, and at once when the groups, the configuration or the list change.
pub(super) async fn plan_service(node: Arc<Node>, service: ServiceId, stop: CancellationToken) {
    let lease = RowKeys::plan_lease(&service);
    let mut seat = LeaseSeat::new(Arc::clone(&node), lease.clone());
    let period = seat.terms().renewal_period_ms().duration();
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
            held = hold(&node, &mut seat, held, &lease).await;
        }
        held = held.filter(|lease| node.is_lease_valid(lease));
        let known = PlanBasis::of(&view.borrow_and_update(), &service);
        if let Some(lease) = held
            && let Err(error) = planner.plan(lease).await
        {
            warn!("the groups of {service} can't be planned now: {error}");
        }
        let changed = view.wait_for(|view| PlanBasis::of(view, &service) != known);
        tokio::select! {
            () = stop.cancelled() => break,
            () = tokio::time::sleep_until(renew_at) => {}
            _ = changed, if held.is_some() => {}
        }
    }
    if let Some(lease) = held {
        seat.release(lease, false).await;
    }
}

/// Renews the lease, or tries to take it.
async fn hold(
    node: &Node,
    seat: &mut LeaseSeat,
    held: Option<HeldLease>,
    lease: &LeaseName,
) -> Option<HeldLease> {
    let outcome = match held {
        None => seat.try_acquire().await,
        Some(held) => seat.renew(held).await,
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
        Err(SeatError::HeldBy { .. }) => None,
        Err(error) => {
            debug!("the lease {lease} is not renewed: {error}");
            held
        }
    }
}

/// The versions of what a plan is made from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PlanBasis {
    roster: Option<RowVersion>,
    config: ConfigVersion,
    listing: ListRevision,
}

impl PlanBasis {
    fn of(view: &FleetView, service: &ServiceId) -> Self {
        Self {
            roster: view.rosters.get(service).map(|roster| roster.row),
            config: view.config_version(),
            listing: view.listing.revision,
        }
    }
}

struct Planner {
    node: Arc<Node>,
    service: ServiceId,
    loads: WeightLoads,
    check_spares_at: Instant,
}

impl Planner {
    /// Carries out each step of the plan, one transaction each, while the lease is valid.
    async fn plan(&mut self, held: HeldLease) -> Result<(), TableError> {
        let node = Arc::clone(&self.node);
        let service = self.service.clone();
        let plans = PlanTransactions::new(&node, &service);
        let mut changes = Vec::new();
        for step in self.steps(&plans).await? {
            if !self.node.is_lease_valid(&held) {
                break;
            }
            let Some(change) = plans.carry_out(&step).await? else {
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

    /// Decides the steps. Instances are probed only if there would be something to do.
    async fn steps(&mut self, plans: &PlanTransactions<'_>) -> Result<Vec<PlanStep>, TableError> {
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

    /// Orders spares to load the weights, so that a repair needs no load.
    async fn load_spares(&self, view: &FleetView, roster: &Roster, spares: &[InstanceId]) {
        let order = EngineOrder {
            fencing: roster.free_order_fencing(),
            kind: OrderKind::Load,
        };
        let records = spares.iter().filter_map(|spare| view.instance(spare));
        let orders = records.map(|record| self.node.engines.order(record.address, &order));
        for outcome in join_all(orders).await {
            if let Err(error) = outcome {
                debug!("a spare of {} does not load: {error}", self.service);
            }
        }
    }

    /// Orders the engines that were freed and not used again to leave their groups.
    ///
    /// An engine that does not hear the order stays in a group for which nobody grants a slot,
    /// until it joins another one.
    async fn release_engines(&self, changes: &[RosterChange]) {
        let joined: HashSet<&InstanceId> =
            changes.iter().flat_map(|change| &change.joined).collect();
        let view = self.node.view();
        let mut orders = Vec::new();
        let ended = |change: &&RosterChange| change.group.state != GroupState::Intact;
        for change in changes.iter().filter(ended) {
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
                debug!("an engine of {} did not leave: {error}", self.service);
            }
        }
    }
}

/// Returns the order to leave a dissolved group; it has the highest number of its epoch, so that
/// no order of the group's last owner comes after it.
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
