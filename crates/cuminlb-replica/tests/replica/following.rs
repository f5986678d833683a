//! The choice of whom a node follows.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use cuminlb_replica::{FailedPeers, FollowTiming, Membership, NodeRow, RelayRanking, RowOrigin};
use cuminlb_types::prelude::*;
use tokio::time::Instant;

use crate::simulated_fleet::{node_id, node_row};

fn nodes(count: usize, fast: usize) -> Arc<BTreeMap<NodeId, NodeRow>> {
    let nodes = (0..count).map(|number| (node_id(number), node_row(number, fast)));
    Arc::new(nodes.collect())
}

fn origin(
    nodes: &Arc<BTreeMap<NodeId, NodeRow>>,
    own_id: &NodeId,
    failed: &FailedPeers,
    leader: Option<NodeId>,
) -> RowOrigin {
    let membership = Membership {
        own_id: own_id.clone(),
        zone: nodes[own_id].zone.clone(),
        leader,
        nodes: Arc::clone(nodes),
    };
    let mut ranking = RelayRanking::default();
    ranking.update(&membership);
    RowOrigin::choose(&membership, &ranking, failed, Instant::now())
}

#[test]
fn nodes_follow_a_strong_node_of_their_own_zone() {
    let nodes = nodes(90, 3);
    for (id, row) in nodes.iter() {
        match origin(&nodes, id, &FailedPeers::default(), None) {
            RowOrigin::Store => assert!(row.capacity.link_mbps > LinkRate(100.0)),
            RowOrigin::Relay(relay) => {
                assert_eq!(nodes[&relay].zone, row.zone);
                assert!(nodes[&relay].capacity.link_mbps > LinkRate(100.0));
            }
            RowOrigin::Undecided => panic!("{id} has not decided"),
        }
    }
}

#[test]
fn the_next_node_takes_the_place_of_a_failed_relay() {
    let nodes = nodes(30, 0);
    let own_id = node_id(4);
    let mut failed = FailedPeers::default();
    let mut seen = BTreeSet::new();
    let now = Instant::now();
    while let RowOrigin::Relay(relay) = origin(&nodes, &own_id, &failed, None) {
        assert!(seen.insert(relay.clone()), "{relay} was chosen again");
        failed.record_failure(relay, now);
    }
    // When all that rank before it have failed, the node is the relay itself.
    assert_eq!(origin(&nodes, &own_id, &failed, None), RowOrigin::Store);
    assert!(seen.len() < 10);
}

#[test]
fn the_leader_follows_the_store() {
    let nodes = nodes(30, 0);
    for id in nodes.keys() {
        let leader = Some(id.clone());
        let chosen = origin(&nodes, id, &FailedPeers::default(), leader);
        assert_eq!(chosen, RowOrigin::Store);
    }
}

#[test]
fn a_peer_that_fails_again_is_avoided_for_longer() {
    let node = node_id(1);
    let start = Instant::now();
    let mut failed = FailedPeers::default();
    failed.record_failure(node.clone(), start);
    assert!(failed.is_avoided(&node, start + Duration::from_secs(3)));
    let again = start + Duration::from_secs(5);
    assert!(!failed.is_avoided(&node, again));
    failed.record_failure(node.clone(), again);
    assert!(failed.is_avoided(&node, again + Duration::from_secs(7)));
    failed.record_success(&node);
    assert!(!failed.is_avoided(&node, again));
}

#[test]
fn a_silent_relay_is_noticed_within_the_bound() {
    for bound_ms in [Millis(2_000), Millis(3_000), Millis(4_000)] {
        let timing = FollowTiming::new(bound_ms);
        let call_timeout_ms = Millis(400);
        let noticed_ms = timing.max_peer_age_ms + timing.peer_wait_ms + call_timeout_ms;
        assert!(noticed_ms < bound_ms, "{noticed_ms} of {bound_ms}");
        assert!(timing.store_wait_ms < timing.max_peer_age_ms);
    }
}
