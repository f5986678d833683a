//! Owns one group: acquires and renews its lease, and monitors its members meanwhile.

use std::sync::Arc;

use cuminlb_events::EventKind;
use cuminlb_fleet::lease::HeldLease;
use cuminlb_fleet::rows::RowKeys;
use cuminlb_types::prelude::*;
use log::{debug, info, warn};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::group_monitor::GroupMonitor;
use super::{LeaseError, LeaseManager};
use crate::node::Node;

/// Acquires the lease of a group whenever it is free, and owns the group while the lease is valid.
pub(super) async fn own_group(
    node: Arc<Node>,
    service: ServiceId,
    group: GroupId,
    rank: usize,
    stop: CancellationToken,
) {
    let mut lease_manager = LeaseManager::new(Arc::clone(&node), RowKeys::group_lease(&group));
    loop {
        let acquired = tokio::select! {
            () = stop.cancelled() => return,
            acquired = acquire(&node, &mut lease_manager, &group, rank) => acquired,
        };
        info!(
            "acquired the lease of group {group} with fencing number {}",
            acquired.fencing
        );
        let lease = RowKeys::group_lease(&group);
        node.events.record(EventKind::LeaseAcquired {
            lease,
            fencing: acquired.fencing,
        });
        let owner = GroupOwner {
            node: Arc::clone(&node),
            service: service.clone(),
            group: group.clone(),
        };
        let last_held = owner.run(&mut lease_manager, acquired, &stop).await;
        let is_idle = node.owned.remove(&group);
        node.group_events.remove(&group);
        if stop.is_cancelled() {
            lease_manager.release(last_held, is_idle).await;
            return;
        }
        warn!("lost the lease of group {group}");
        lease_manager.record_lost(last_held.fencing, "not renewed in time");
    }
}

/// Waits until this node has acquired the lease.
///
/// The first attempt waits one poll period for each candidate that ranks before this node, so that
/// the preferred owner usually gets the lease.
async fn acquire(
    node: &Node,
    lease_manager: &mut LeaseManager,
    group: &GroupId,
    rank: usize,
) -> HeldLease {
    let period = node.settings.control.poll_period_ms.duration();
    let rank = u32::try_from(rank).unwrap_or(u32::MAX);
    tokio::time::sleep(period * rank).await;
    loop {
        match lease_manager.try_acquire().await {
            Ok(held) => return held,
            Err(LeaseError::HeldBy { holder }) => node.owned.record_owner(group, holder),
            Err(error) => debug!("failed to check or acquire the lease of group {group}: {error}"),
        }
        tokio::time::sleep(period).await;
    }
}

/// One period in which this node owns a group.
struct GroupOwner {
    node: Arc<Node>,
    service: ServiceId,
    group: GroupId,
}

impl GroupOwner {
    /// Renews the lease and monitors the members until the lease is lost or `stop` is cancelled.
    /// Returns the lease as last renewed.
    ///
    /// The two run concurrently, so that a slow table does not delay the probes.
    async fn run(
        &self,
        lease_manager: &mut LeaseManager,
        acquired: HeldLease,
        stop: &CancellationToken,
    ) -> HeldLease {
        let lease = watch::Sender::new(acquired);
        let mut group_monitor = GroupMonitor::new(
            Arc::clone(&self.node),
            self.service.clone(),
            self.group.clone(),
            lease.subscribe(),
            lease_manager.prior_holder_idle(),
        );
        let monitoring = async {
            loop {
                group_monitor.run_round().await;
            }
        };
        tokio::select! {
            () = renew_until_lost(&self.node, lease_manager, &lease, stop) => {}
            () = monitoring => {}
        }
        *lease.borrow()
    }
}

/// Renews the lease once per renewal period until it has expired, another node holds it, or `stop`
/// is cancelled.
async fn renew_until_lost(
    node: &Node,
    lease_manager: &mut LeaseManager,
    lease: &watch::Sender<HeldLease>,
    stop: &CancellationToken,
) {
    let period = lease_manager.timing().renewal_period_ms().duration();
    while node.is_lease_valid(&lease.borrow()) {
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(period) => {}
        }
        let held = *lease.borrow();
        match lease_manager.renew(held).await {
            Ok(renewed) => {
                lease.send_replace(renewed);
            }
            Err(LeaseError::HeldBy { .. }) => return,
            Err(error) => debug!("failed to renew the lease; will retry: {error}"),
        }
    }
}
