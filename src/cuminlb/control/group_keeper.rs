//! Owns one group: takes its lease, watches its members and reports those that are missing.

use std::sync::Arc;

use cuminlb_events::EventKind;
use cuminlb_fleet::lease::HeldLease;
use cuminlb_fleet::rows::RowKeys;
use cuminlb_types::prelude::*;
use log::{debug, info, warn};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::group_watch::GroupWatch;
use super::{LeaseSeat, SeatError};
use crate::node::Node;

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
        let idle = node.owned.remove(&group);
        node.group_events.remove(&group);
        if stop.is_cancelled() {
            seat.release(held, idle).await;
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
        let mut group_watch = GroupWatch::new(
            Arc::clone(&self.node),
            self.service.clone(),
            self.group.clone(),
            lease.subscribe(),
            seat.follows_idle(),
        );
        let watching = async {
            loop {
                group_watch.round().await;
            }
        };
        tokio::select! {
            () = renew_until_lost(&self.node, seat, &lease, stop) => {}
            () = watching => {}
        }
        *lease.borrow()
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
