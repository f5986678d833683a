//! Which nodes are asked whether they reach an instance.

use std::collections::BTreeMap;

use cuminlb_types::prelude::*;
use rand::seq::SliceRandom;

/// Returns the order in which nodes are asked whether they reach an instance in a zone.
///
/// The nodes of one availability zone may have lost their links to another together. So those of the
/// instance's zone come first, and after that the zones take turns.
pub fn adviser_order(
    nodes: Vec<(NodeId, ZoneId)>,
    instance_zone: &ZoneId,
    rng: &mut impl rand::Rng,
) -> Vec<NodeId> {
    let mut by_zone: BTreeMap<ZoneId, Vec<NodeId>> = BTreeMap::new();
    for (node, zone) in nodes {
        by_zone.entry(zone).or_default().push(node);
    }
    let mut zones: Vec<(ZoneId, Vec<NodeId>)> = by_zone.into_iter().collect();
    zones.shuffle(rng);
    zones.sort_by_key(|(zone, _)| zone != instance_zone);
    for (_, nodes) in &mut zones {
        nodes.shuffle(rng);
    }
    let mut order = Vec::new();
    while zones.iter().any(|(_, nodes)| !nodes.is_empty()) {
        order.extend(zones.iter_mut().filter_map(|(_, nodes)| nodes.pop()));
    }
    order
}
