//! The order in which the nodes of each availability zone serve as relays.

use std::collections::BTreeMap;
use std::sync::Arc;

use cuminlb_types::prelude::*;
use cuminlb_types::rendezvous_rank;

use crate::{Membership, NodeRow};

/// Number of nodes of a zone for each one that follows the store and serves the others.
const NODES_PER_RELAY: usize = 60;

/// Key by which rendezvous hashing orders nodes of the same capacity.
const RENDEZVOUS_KEY: &str = "relays";

/// The nodes of each zone, the most suitable relays first.
///
/// All nodes that know the same rows compute the same order.
#[derive(Clone, Debug, Default)]
pub struct RelayRanking {
    nodes: Option<Arc<BTreeMap<NodeId, NodeRow>>>,
    zones: BTreeMap<ZoneId, Vec<NodeId>>,
}

impl RelayRanking {
    /// Ranks the nodes again if they have changed; returns whether they have.
    pub fn update(&mut self, membership: &Membership) -> bool {
        let known = self.nodes.as_ref();
        if known.is_some_and(|known| Arc::ptr_eq(known, &membership.nodes)) {
            return false;
        }
        self.zones = rank_by_zone(&membership.nodes);
        self.nodes = Some(Arc::clone(&membership.nodes));
        true
    }

    /// Returns the relays of a zone: the first of its nodes that are not avoided.
    pub fn relays_of<'a>(
        &'a self,
        zone: &ZoneId,
        is_avoided: impl Fn(&NodeId) -> bool + 'a,
    ) -> impl Iterator<Item = &'a NodeId> {
        let ranked = self.zones.get(zone).map_or(&[][..], Vec::as_slice);
        let count = ranked.len().div_ceil(NODES_PER_RELAY);
        let usable = ranked.iter().filter(move |node| !is_avoided(node));
        usable.take(count)
    }

    /// Returns the relays of all zones.
    pub fn relays<'a>(
        &'a self,
        is_avoided: impl Fn(&NodeId) -> bool + Copy + 'a,
    ) -> impl Iterator<Item = &'a NodeId> {
        let zones = self.zones.keys();
        zones.flat_map(move |zone| self.relays_of(zone, is_avoided))
    }
}

/// Returns the nodes of each zone, the most suitable relays first.
fn rank_by_zone(nodes: &BTreeMap<NodeId, NodeRow>) -> BTreeMap<ZoneId, Vec<NodeId>> {
    let mut ranked: Vec<_> = nodes
        .iter()
        .map(|(node, row)| (row, rendezvous_rank(&RENDEZVOUS_KEY, node), node))
        .collect();
    ranked.sort_by(|(row, rank, _), (other, other_rank, _)| {
        let by_strength = other.capacity.cmp_strength(&row.capacity);
        by_strength.then_with(|| other_rank.cmp(rank))
    });
    let mut zones: BTreeMap<ZoneId, Vec<NodeId>> = BTreeMap::new();
    for (row, _, node) in ranked {
        let in_zone = zones.entry(row.zone.clone()).or_default();
        in_zone.push(node.clone());
    }
    zones
}
