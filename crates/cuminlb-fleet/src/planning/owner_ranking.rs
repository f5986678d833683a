//! [`OwnerRanking`].

use cuminlb_types::prelude::*;
use cuminlb_types::rendezvous_rank;
use std::fmt::Display;

/// The number of nodes that stand ready to own one thing.
const CANDIDATES: usize = 3;

/// The nodes that may own a group or plan a service, in the order in which they try.
///
/// Every node computes the same order from the same list of nodes, so that only a few nodes
/// watch each lease and every node knows whom to ask for a slot. The first two are in the zone
/// of the group where that has so many nodes, the last is in another zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerRanking {
    candidates: Vec<NodeId>,
}

impl OwnerRanking {
    /// Ranks the nodes for a key, those of `near` first.
    pub fn new<'a>(
        key: &impl Display,
        near: Option<&ZoneId>,
        nodes: impl Iterator<Item = (&'a NodeId, &'a ZoneId)>,
    ) -> Self {
        let (mut close, mut far): (Vec<_>, Vec<_>) =
            nodes.partition(|(_, zone)| near.is_none_or(|near| near == *zone));
        let by_rank = |pair: &(&NodeId, &ZoneId)| std::cmp::Reverse(rendezvous_rank(key, pair.0));
        close.sort_by_key(by_rank);
        far.sort_by_key(by_rank);
        let from_close = close.len().min(CANDIDATES - usize::from(!far.is_empty()));
        let rest = close.split_off(from_close);
        let ordered = close.into_iter().chain(far).chain(rest);
        let candidates = ordered
            .take(CANDIDATES)
            .map(|(node, _)| node.clone())
            .collect();
        Self { candidates }
    }

    /// Returns the candidates, the first choice first.
    pub fn candidates(&self) -> &[NodeId] {
        &self.candidates
    }

    /// Returns the place of a node in the order, or `None` where it is no candidate.
    pub fn rank_of(&self, node: &NodeId) -> Option<usize> {
        self.candidates
            .iter()
            .position(|candidate| candidate == node)
    }
}
