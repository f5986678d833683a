//! Plans the groups of one service while this node holds the lease for it.

use std::sync::Arc;

use cuminlb_events::EventKind;
use cuminlb_fleet::lease::HeldLease;
use cuminlb_fleet::planning::{Candidate, plan_groups};
use cuminlb_fleet::rows::RowKeys;
use cuminlb_platform::{InstanceRole, InstanceState, TableError};
use cuminlb_types::prelude::*;
use log::{debug, warn};
use tokio_util::sync::CancellationToken;

use super::plan_transactions::PlanTransactions;
use super::{LeaseSeat, SeatError};
use crate::node::{FleetView, Node};

/// Takes the lease of a service's plan whenever it is free, and plans while it holds.
pub(super) async fn plan_service(node: Arc<Node>, service: ServiceId, stop: CancellationToken) {
    let lease = RowKeys::plan_lease(&service);
    let mut seat = LeaseSeat::new(Arc::clone(&node), lease.clone());
    let period = seat.terms().renewal_period_ms().duration();
    let mut held: Option<HeldLease> = None;
    loop {
        let outcome = match held {
            None => seat.try_acquire().await,
            Some(lease) => seat.renew(lease).await,
        };
        match outcome {
            Ok(lease_now) => {
                if held.is_none() {
                    let lease = lease.clone();
                    let fencing = lease_now.fencing;
                    node.events
                        .record(EventKind::LeaseAcquired { lease, fencing });
                }
                held = Some(lease_now);
            }
            Err(SeatError::HeldBy { .. }) => held = None,
            Err(error) => debug!("the lease {lease} is not taken or renewed: {error}"),
        }
        held = held.filter(|lease| node.is_lease_valid(lease));
        if let Some(lease) = held
            && let Err(error) = plan_once(&node, &service, lease).await
        {
            warn!("the groups of {service} can't be planned now: {error}");
        }
        tokio::select! {
            () = stop.cancelled() => break,
            () = tokio::time::sleep(period) => {}
        }
    }
    if let Some(lease) = held {
        seat.release(lease).await;
    }
}

/// Carries out each step of the plan, one transaction each, while the lease is valid.
async fn plan_once(
    node: &Arc<Node>,
    service: &ServiceId,
    held: HeldLease,
) -> Result<(), TableError> {
    let view = node.view();
    let Some(spec) = view.service(service) else {
        return Ok(());
    };
    let plans = PlanTransactions::new(node, service);
    let roster = plans.read_roster().await?;
    let roster = roster.map(|row| row.value).unwrap_or_default();
    for step in plan_groups(spec, &roster, &candidates(&view, service)) {
        if !node.is_lease_valid(&held) {
            return Ok(());
        }
        plans.carry_out(step).await?;
    }
    Ok(())
}

/// Returns the instances of a service; those in a zone that is out, or leaving, are unusable.
fn candidates(view: &FleetView, service: &ServiceId) -> Vec<Candidate> {
    let role = InstanceRole::Upstream {
        service: service.clone(),
    };
    let records = view
        .listing
        .instances
        .iter()
        .filter(|record| record.role == role);
    records
        .map(|record| Candidate {
            instance: record.id.clone(),
            zone: record.zone.clone(),
            domain: record.domain.clone(),
            accelerators: record.accelerators,
            usable: record.state == InstanceState::Live
                && view
                    .spec()
                    .is_some_and(|spec| spec.zone_is_in(&record.zone)),
        })
        .collect()
}
