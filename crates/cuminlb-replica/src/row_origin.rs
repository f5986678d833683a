//! The choice between following the store and following a peer.

use std::time::Duration;

use cuminlb_types::prelude::*;
use cuminlb_types::rendezvous_rank;
use tokio::time::Instant;

use crate::{FailedPeers, Membership, RelayRanking};

/// Number of relays that fail one after the other before a node asks the store itself, which may
/// serve it although it serves none of them.
const MAX_RECENT_FAILURES: usize = 2;

/// How long these failures count.
const RECENT_FAILURE_AGE: Duration = Duration::from_millis(2_500);

/// Where a node gets changes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RowOrigin {
    /// The node has not yet read which other nodes there are.
    Undecided,
    /// The platform's store.
    Store,
    /// A node that follows the store.
    Relay(NodeId),
}

impl RowOrigin {
    /// Chooses where a node gets changes from. The leader and a few nodes of each zone, the relays,
    /// follow the store. The others follow a relay of their zone; if none is usable, or several have
    /// just failed, they follow the store too.
    pub fn choose(
        membership: &Membership,
        ranking: &RelayRanking,
        failed_peers: &FailedPeers,
        now: Instant,
    ) -> Self {
        let own_id = &membership.own_id;
        if membership.is_leader() {
            return Self::Store;
        }
        if failed_peers.recent_count(RECENT_FAILURE_AGE, now) >= MAX_RECENT_FAILURES {
            return Self::Store;
        }
        let is_avoided = |node: &NodeId| node != own_id && failed_peers.is_avoided(node, now);
        let relays: Vec<&NodeId> = ranking.relays_of(&membership.zone, is_avoided).collect();
        if relays.contains(&own_id) {
            return Self::Store;
        }
        // Each node has its own order of the relays, which spreads the nodes over them.
        let relay = relays
            .into_iter()
            .max_by_key(|relay| rendezvous_rank(own_id, relay));
        relay.map_or(Self::Store, |relay| Self::Relay(relay.clone()))
    }
}
