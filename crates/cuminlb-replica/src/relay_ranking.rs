//! The order in which the nodes of an availability zone serve as relays.

use std::cmp::Reverse;
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
    nodes: Option<Arc<std::collections::BTreeMap<NodeId, NodeRow>>>,
    ranked: Vec<NodeId>,
}

impl RelayRanking {
    /// Ranks the nodes again if they have changed; returns whether they have.
    pub fn update(&mut self, membership: &Membership) -> bool {
        let known = self.nodes.as_ref();
        if known.is_some_and(|known| Arc::ptr_eq(known, &membership.nodes)) {
            return false;
        }
        let is_in_zone = |row: &NodeRow| row.zone == membership.zone;
        let listed = membership.nodes.iter();
        let mut in_zone: Vec<_> = listed.filter(|(_, row)| is_in_zone(row)).collect();
        in_zone.sort_by(|(one, one_row), (other, other_row)| {
            let by_strength = other_row.capacity.cmp_strength(&one_row.capacity);
            let rank = |node| Reverse(rendezvous_rank(&RENDEZVOUS_KEY, node));
            by_strength.then_with(|| rank(*one).cmp(&rank(*other)))
        });
        self.ranked = in_zone.into_iter().map(|(node, _)| node.clone()).collect();
        self.nodes = Some(Arc::clone(&membership.nodes));
        true
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
