//! The tasks that keep a replica recent.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cuminlb_catalog::{RowStore, StoreTable};
use cuminlb_peer::{RelayPeer, RelayedUpdate, StoreContact, TableCursors};
use cuminlb_types::prelude::*;
use rand::seq::IteratorRandom;
use tokio::sync::watch;
use tokio::time::{Instant, timeout};
use tokio_util::sync::CancellationToken;

use crate::fetch_values::fetch_values;
use crate::follow_relay::follow_relay;
use crate::follow_store::follow_store;
use crate::{FailedPeers, FollowTiming, RelayLane, RelayPeers, RelayRanking, Replica, RowOrigin};

/// Keeps a replica recent, and gives peers what it holds.
pub struct Follower {
    pub(crate) replica: Arc<Replica>,
    pub(crate) store: Arc<dyn RowStore>,
    pub(crate) peers: Arc<dyn RelayPeers>,
    pub(crate) timing: FollowTiming,
    pub(crate) origin: watch::Sender<RowOrigin>,
    failed_peers: Mutex<FailedPeers>,
    ranking: Mutex<RelayRanking>,
}

impl std::fmt::Debug for Follower {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Follower").finish_non_exhaustive()
    }
}

impl Follower {
    /// Creates the tasks' shared state.
    pub fn new(
        replica: Arc<Replica>,
        store: Arc<dyn RowStore>,
        peers: Arc<dyn RelayPeers>,
        timing: FollowTiming,
    ) -> Self {
        Self {
            replica,
            store,
            peers,
            timing,
            origin: watch::Sender::new(RowOrigin::Undecided),
            failed_peers: Mutex::default(),
            ranking: Mutex::default(),
        }
    }

    /// Keeps the replica recent until `stop` is cancelled.
    pub async fn run(&self, stop: CancellationToken) {
        let follow = async {
            tokio::join!(
                follow_relay(self),
                follow_store(self, StoreTable::Desired),
                follow_store(self, StoreTable::Instances),
                follow_store(self, StoreTable::Nodes),
                fetch_values(self),
            )
        };
        tokio::select! {
            () = stop.cancelled() => {}
            _ = follow => {}
        }
    }

    /// Returns where this node gets changes from.
    pub fn origin(&self) -> RowOrigin {
        self.origin.borrow().clone()
    }

    /// Returns whether this node follows the store itself.
    pub fn follows_store(&self) -> bool {
        *self.origin.borrow() == RowOrigin::Store
    }

    /// Returns the relays of all zones other than this node.
    pub fn other_relays(&self, now: Instant) -> Vec<NodeId> {
        let own_id = self.peers.membership().own_id;
        let failed_peers = self.failed_peers();
        let ranking = self.ranking();
        let relays = ranking.relays(|node| failed_peers.is_avoided(node, now));
        relays.filter(|node| **node != own_id).cloned().collect()
    }

    /// Returns whether this node is one of the relays of its zone.
    pub fn is_relay(&self, now: Instant) -> bool {
        let membership = self.peers.membership();
        let own_id = &membership.own_id;
        let failed_peers = self.failed_peers();
        let is_avoided = |node: &NodeId| node != own_id && failed_peers.is_avoided(node, now);
        let ranking = self.ranking();
        let mut relays = ranking.relays_of(&membership.zone, is_avoided);
        relays.any(|node| node == own_id)
    }

    /// Returns the rows that changed after `cursors`; waits up to `wait_ms` for such a row.
    pub async fn await_update(&self, cursors: TableCursors, wait_ms: Millis) -> RelayedUpdate {
        let mut newest = self.replica.newest();
        let has_update = newest.wait_for(|newest| newest.is_ahead_of(&cursors));
        // After a timeout, the response tells that there are no changes, and how recent that is.
        let _ = timeout(wait_ms.duration(), has_update).await;
        let now = Instant::now();
        self.replica.update_since(cursors, self.contact(), now)
    }

    /// Returns a random node other than this one that has not failed recently, or else any.
    pub(crate) fn random_peer(&self, lane: RelayLane) -> Option<(NodeId, Arc<dyn RelayPeer>)> {
        let membership = self.peers.membership();
        let now = Instant::now();
        let failed_peers = self.failed_peers();
        let others = || {
            let nodes = membership.nodes.keys();
            nodes.filter(|node| **node != membership.own_id)
        };
        let usable = others().filter(|node| !failed_peers.is_avoided(node, now));
        let node = usable.choose(&mut rand::rng());
        let node = node.or_else(|| others().choose(&mut rand::rng()))?.clone();
        drop(failed_peers);
        let link = self.peers.link(&node, lane)?;
        Some((node, link))
    }

    pub(crate) fn ranking(&self) -> MutexGuard<'_, RelayRanking> {
        self.ranking.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn failed_peers(&self) -> MutexGuard<'_, FailedPeers> {
        self.failed_peers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn contact(&self) -> StoreContact {
        match *self.origin.borrow() {
            RowOrigin::Relay(_) => StoreContact::Indirect,
            _ if self.replica.is_store_lost() => StoreContact::Lost,
            RowOrigin::Undecided | RowOrigin::Store => StoreContact::Served,
        }
    }
}
