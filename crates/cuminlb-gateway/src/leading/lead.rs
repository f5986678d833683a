//! [`lead`].

use std::sync::Arc;

use cuminlb_types::prelude::*;
use log::info;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::leader::Leader;
use super::lease_in_force::LeaseInForce;
use crate::gateway::Gateway;

/// The epochs that one lease gives at most, as a power of two.
const EPOCH_BITS: u32 = 16;

/// Leads while this node has the lease, until `stop` is cancelled.
pub(crate) async fn lead(
    gateway: Arc<Gateway>,
    mut lease: watch::Receiver<Option<LeaseInForce>>,
    stop: CancellationToken,
) {
    loop {
        let held = tokio::select! {
            () = stop.cancelled() => return,
            held = lease.wait_for(Option::is_some) => match held {
                Ok(held) => *held,
                Err(_closed) => return,
            },
        };
        let Some(held) = held.map(|lease| lease.held) else {
            continue;
        };
        let base = Epoch(held.version.get() << EPOCH_BITS);
        info!(epoch:% = base, fencing:% = held.fencing; "leading");
        Leader::new(Arc::clone(&gateway), base)
            .run(&mut lease, &stop)
            .await;
        info!("leading no more");
    }
}
