//! The ranking of the nodes that may own a group or plan a service.

use cuminlb_types::prelude::*;
use cuminlb_types::rendezvous_rank;
use std::fmt::Display;

/// The largest number of nodes that compete for one lease.
const MAX_CANDIDATES: usize = 3;

/// The nodes that may own a group or plan a service, in the order in which they try to acquire
/// its lease.
///
/// Every node computes the same order from the same list of nodes, so that only a few nodes
/// watch each lease and every node knows from which node to request a slot. The first two are in
/// the availability zone of the group if it has that many nodes; the last is in another zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerRanking {
    candidates: Vec<NodeId>,
}

impl OwnerRanking {
    /// Ranks the nodes for a key; nodes in `preferred_zone` come first, except that the last
    /// candidate is in another zone if there is such a node.
    pub fn new<'a>(
        key: &impl Display,
        preferred_zone: Option<&ZoneId>,
        nodes: impl Iterator<Item = (&'a NodeId, &'a ZoneId)>,
    ) -> Self {
        let (mut local, mut remote): (Vec<_>, Vec<_>) =
            nodes.partition(|(_, zone)| preferred_zone.is_none_or(|preferred| preferred == *zone));
        let descending_rank =
            |pair: &(&NodeId, &ZoneId)| std::cmp::Reverse(rendezvous_rank(key, pair.0));
        local.sort_by_key(descending_rank);
        remote.sort_by_key(descending_rank);
        let local_count = local
            .len()
            .min(MAX_CANDIDATES - usize::from(!remote.is_empty()));
        let remaining = local.split_off(local_count);
        let ordered = local.into_iter().chain(remote).chain(remaining);
        let candidates = ordered
            .take(MAX_CANDIDATES)
            .map(|(node, _)| node.clone())
            .collect();
        Self { candidates }
    }

    /// Returns the candidates in order of rank, the first choice first.
    pub fn candidates(&self) -> &[NodeId] {
        &self.candidates
    }

    /// Returns the rank of a node, starting at 0, or `None` if it is not a candidate.
    pub fn rank_of(&self, node: &NodeId) -> Option<usize> {
        self.candidates
            .iter()
            .position(|candidate| candidate == node)
    }
}
