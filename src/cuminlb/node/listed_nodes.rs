//! The live nodes in the platform's list of instances, and their ranking as owners.

use cuminlb_fleet::planning::OwnerRanking;
use cuminlb_platform::{InstanceListing, InstanceRecord, InstanceRole, InstanceState};
use cuminlb_types::prelude::*;
use std::fmt::Display;

/// The live nodes in the platform's list of instances.
#[derive(Clone, Copy, Debug)]
pub struct ListedNodes<'a> {
    listing: &'a InstanceListing,
}

impl<'a> ListedNodes<'a> {
    /// Selects the nodes of a list.
    pub const fn new(listing: &'a InstanceListing) -> Self {
        Self { listing }
    }

    /// Returns each live node with its record.
    pub fn iter(self) -> impl Iterator<Item = (NodeId, &'a InstanceRecord)> {
        self.listing
            .instances
            .iter()
            .filter(|record| record.role == InstanceRole::Node)
            .filter(|record| record.state == InstanceState::Live)
            .filter_map(|record| Some((record.id.as_str().parse().ok()?, record)))
    }

    /// Ranks the nodes that may own what `key` names; those in `preferred_zone` are preferred.
    pub fn rank_owners(self, key: &impl Display, preferred_zone: Option<&ZoneId>) -> OwnerRanking {
        let nodes: Vec<(NodeId, &InstanceRecord)> = self.iter().collect();
        OwnerRanking::new(
            key,
            preferred_zone,
            nodes.iter().map(|(node, record)| (node, &record.zone)),
        )
    }
}
