//! [`lead`].

use std::sync::Arc;
use std::time::Duration;

use cuminlb_types::prelude::*;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use super::leader::Leader;
use super::leadership::Leadership;
use super::lease_rows::LEASE_TERMS;
use crate::gateway::Gateway;

/// How often a node that does not lead looks at the lease.
const LOOK_PERIOD: Duration = Duration::from_millis(150);

/// The longest pause before taking a lease, which keeps nodes from trying all at once.
const MAX_TAKE_PAUSE_MS: u64 = 120;

/// Leads while this node has the lease, until `stop` is cancelled, and then hands the lease on.
pub(crate) async fn lead(gateway: Arc<Gateway>, stop: CancellationToken) {
    let mut leadership = Leadership::new();
    while !stop.is_cancelled() {
        if leadership.is_held() {
            Leader::new(Arc::clone(&gateway)).run(&mut leadership, &stop).await;
            continue;
        }
        tokio::select! {
            () = stop.cancelled() => break,
            () = sleep(LOOK_PERIOD) => {}
        }
        if leadership.may_take(&gateway, Instant::now()) {
            sleep(Duration::from_millis(rand::random_range(0..MAX_TAKE_PAUSE_MS))).await;
            if leadership.may_take(&gateway, Instant::now()) {
                leadership.write(&gateway, LEASE_TERMS.length_ms).await;
            }
        }
    }
    if leadership.is_held() {
        leadership.write(&gateway, Millis(0)).await;
    }
}
