//! The task that acquires and renews the leader's lease.

use std::sync::Arc;
use std::time::Duration;

use cuminlb_fleet::lease::LeaseWriteOutcome;
use cuminlb_routing::LeadFitness;
use log::info;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use super::SharedLease;
use super::active_lease::ActiveLease;
use super::lease_rows::{LEASE_TIMING, MAX_EXTENSION_MS};
use super::lease_state::LeaseState;
use super::store_outage::is_store_outage;
use crate::gateway::Gateway;

/// How often a node that is not the leader checks the lease.
const LEASE_CHECK_PERIOD: Duration = Duration::from_millis(150);

/// Delay before a node that is no relay acquires the lease, which leaves it to one that has the news
/// first and can bear the work, unless there is none.
const OTHER_NODE_DELAY: Duration = Duration::from_millis(2_500);

/// Upper bound of the random delay before acquiring a lease, which keeps the nodes from attempting
/// it all at once.
const MAX_ACQUIRE_JITTER_MS: u64 = 120;

/// Acquires the lease when no node holds it and renews it, until `stop` is cancelled; then releases
/// it.
///
/// A node that has lost its links to instances gives the lease to one that has its own.
///
/// While the store is unavailable to all nodes, none of them can acquire the lease, and this node
/// extends its own.
pub(crate) async fn keep_lease(gateway: Arc<Gateway>, lease: SharedLease, stop: CancellationToken) {
    let mut state = LeaseState::new(gateway.settings.id.clone());
    let mut acquirable_since = None;
    let mut fitness_at_start = LeadFitness::Fit;
    while !stop.is_cancelled() {
        if state.held().is_none() {
            tokio::select! {
                () = stop.cancelled() => break,
                () = sleep(LEASE_CHECK_PERIOD) => {}
            }
            if !state.may_acquire(&gateway, Instant::now()) {
                acquirable_since = None;
            } else if is_candidate(&gateway, &mut acquirable_since) {
                fitness_at_start = gateway.links.lead_fitness();
                acquire(&gateway, &mut state).await;
            }
            lease.send_replace(state.held().map(ActiveLease::new));
            continue;
        }
        tokio::select! {
            () = stop.cancelled() => break,
            () = sleep(LEASE_TIMING.renewal_period_ms().duration()) => {}
        }
        let fitness = gateway.links.lead_fitness();
        if fitness > fitness_at_start {
            info!(fitness:? = fitness; "lease released, because links to instances are lost");
            lease.send_replace(None);
            state.release(&gateway).await;
            continue;
        }
        let written = state.write(&gateway, LEASE_TIMING.length_ms).await;
        if written == LeaseWriteOutcome::Unknown && is_store_outage(&gateway).await {
            state.extend(Instant::now() + MAX_EXTENSION_MS.duration());
        }
        lease.send_replace(state.held().map(ActiveLease::new));
    }
    lease.send_replace(None);
    if state.held().is_some() {
        state.release(&gateway).await;
    }
}

/// Returns whether this node should try to acquire a lease that nobody holds, which began to be so
/// at `acquirable_since`.
fn is_candidate(gateway: &Gateway, acquirable_since: &mut Option<Instant>) -> bool {
    let now = Instant::now();
    let since = *acquirable_since.get_or_insert(now);
    let has_waited = now.duration_since(since) >= OTHER_NODE_DELAY;
    match gateway.links.lead_fitness() {
        LeadFitness::Fit => gateway.follower.is_relay(now) || has_waited,
        LeadFitness::Impaired => has_waited,
        LeadFitness::Unfit => false,
    }
}

/// Tries to acquire the lease.
async fn acquire(gateway: &Gateway, state: &mut LeaseState) {
    let jitter_ms = rand::random_range(0..MAX_ACQUIRE_JITTER_MS);
    sleep(Duration::from_millis(jitter_ms)).await;
    if state.may_acquire(gateway, Instant::now()) {
        state.write(gateway, LEASE_TIMING.length_ms).await;
    }
}
