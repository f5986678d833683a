//! [`keep_lease`].

use std::sync::Arc;
use std::time::Duration;

use cuminlb_types::prelude::*;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use super::SharedLease;
use super::lease_in_force::LeaseInForce;
use super::lease_rows::LEASE_TERMS;
use super::lease_state::{LeaseState, LeaseWrite};
use super::outage_cover::is_outage_for_all;
use crate::gateway::Gateway;

/// How often a node that does not lead looks at the lease.
const LOOK_PERIOD: Duration = Duration::from_millis(150);

/// The longest pause before taking a lease, which keeps nodes from trying all at once.
const MAX_TAKE_PAUSE_MS: u64 = 120;

/// How long a lease is valid beyond its end once the store was found to serve nobody.
const COVER: Duration = Duration::from_millis(700);

/// Takes the lease when nobody has it and keeps it, until `stop` is cancelled; then hands it on.
///
/// While the store serves nobody, nobody can take the lease, and this node goes on with it.
pub(crate) async fn keep_lease(gateway: Arc<Gateway>, lease: SharedLease, stop: CancellationToken) {
    let mut state = LeaseState::new();
    while !stop.is_cancelled() {
        if state.held().is_none() {
            tokio::select! {
                () = stop.cancelled() => break,
                () = sleep(LOOK_PERIOD) => {}
            }
            if state.may_take(&gateway, Instant::now()) {
                sleep(Duration::from_millis(rand::random_range(
                    0..MAX_TAKE_PAUSE_MS,
                )))
                .await;
                if state.may_take(&gateway, Instant::now()) {
                    state.write(&gateway, LEASE_TERMS.length_ms).await;
                }
            }
            lease.send_replace(state.held().map(LeaseInForce::new));
            continue;
        }
        tokio::select! {
            () = stop.cancelled() => break,
            () = sleep(LEASE_TERMS.renewal_period_ms().duration()) => {}
        }
        let written = state.write(&gateway, LEASE_TERMS.length_ms).await;
        if written == LeaseWrite::Unknown && is_outage_for_all(&gateway).await {
            state.extend(Instant::now() + COVER);
        }
        lease.send_replace(state.held().map(LeaseInForce::new));
    }
    lease.send_replace(None);
    if state.held().is_some() {
        state.write(&gateway, Millis(0)).await;
    }
}
