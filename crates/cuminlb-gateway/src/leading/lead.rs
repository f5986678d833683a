//! The task that leads while this node holds the lease.

use std::sync::Arc;

use cuminlb_fleet::lease::base_epoch;
use log::info;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::active_lease::ActiveLease;
use super::leader::Leader;
use crate::gateway::Gateway;

/// Leads while this node holds the lease, until `stop` is cancelled.
pub(crate) async fn lead(
    gateway: Arc<Gateway>,
    mut lease: watch::Receiver<Option<ActiveLease>>,
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
        let base_epoch = base_epoch(held.version);
        info!(epoch:% = base_epoch, fencing:% = held.fencing; "leading");
        Leader::new(Arc::clone(&gateway), base_epoch)
            .run(&mut lease, &stop)
            .await;
        info!("leading no more");
    }
}
