//! The order in which the nodes of an availability zone serve as relays.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cuminlb_types::prelude::*;
use cuminlb_types::rendezvous_rank;

use crate::{Membership, NodeRow};

/// Number of nodes of a zone for each one that follows the store and serves the others.
const NODES_PER_RELAY: usize = 60;

/// Key by which rendezvous hashing orders nodes of the same capacity.
const RENDEZVOUS_KEY: &str = "relays";

/// The nodes of this node's zone, the most suitable relays first.
///
/// All nodes of a zone that know the same rows compute the same order.
#[derive(Clone, Debug, Default)]
pub struct RelayRanking {
    nodes: Option<Arc<BTreeMap<NodeId, NodeRow>>>,
    ranked: Vec<NodeId>,
}

impl RelayRanking {
    /// Ranks the nodes again if they have changed; returns whether they have.
    pub fn update(&mut self, membership: &Membership) -> bool {
        let known = self.nodes.as_ref();
        if known.is_some_and(|known| Arc::ptr_eq(known, &membership.nodes)) {
            return false;
        }
        self.ranked = rank_zone(&membership.nodes, &membership.zone);
        self.nodes = Some(Arc::clone(&membership.nodes));
        true
    }

    /// Ranks the nodes of each zone.
    pub fn of_zones(membership: &Membership) -> Vec<Self> {
        let zones: BTreeSet<&ZoneId> = membership.nodes.values().map(|row| &row.zone).collect();
        let zones = zones.into_iter();
        zones
            .map(|zone| Self {
                nodes: Some(Arc::clone(&membership.nodes)),
                ranked: rank_zone(&membership.nodes, zone),
            })
            .collect()
    }

    /// Returns the nodes that serve as relays: the first ones of those that are not avoided.
    pub fn relays<'a>(
        &'a self,
        is_avoided: impl Fn(&NodeId) -> bool + 'a,
    ) -> impl Iterator<Item = &'a NodeId> {
        let count = self.ranked.len().div_ceil(NODES_PER_RELAY);
        let usable = self.ranked.iter().filter(move |node| !is_avoided(node));
        usable.take(count)
    }
}

/// Returns the nodes of a zone, the most suitable relays first.
fn rank_zone(nodes: &BTreeMap<NodeId, NodeRow>, zone: &ZoneId) -> Vec<NodeId> {
    let in_zone = nodes.iter().filter(|(_, row)| row.zone == *zone);
    let mut in_zone: Vec<_> = in_zone
        .map(|(node, row)| (row.capacity, rendezvous_rank(&RENDEZVOUS_KEY, node), node))
        .collect();
    in_zone.sort_by(|(capacity, rank, _), (other_capacity, other_rank, _)| {
        let by_strength = other_capacity.cmp_strength(capacity);
        by_strength.then_with(|| other_rank.cmp(rank))
    });
    in_zone.into_iter().map(|(.., node)| node.clone()).collect()
}
