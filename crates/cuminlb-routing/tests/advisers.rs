//! Tests of the order in which nodes are asked about an instance.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeSet;

use cuminlb_routing::adviser_order;
use cuminlb_types::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

const SEED: u64 = 31;

/// Returns nine nodes in three zones.
fn nodes() -> Vec<(NodeId, ZoneId)> {
    let nodes = (0..9).map(|number| {
        let zone = format!("z{}", number % 3);
        (format!("n{number}").parse().unwrap(), zone.parse().unwrap())
    });
    nodes.collect()
}

fn zone_of(node: &NodeId) -> ZoneId {
    let nodes = nodes();
    nodes.into_iter().find(|(it, _)| it == node).unwrap().1
}

#[test]
fn a_zone_that_lost_its_links_to_another_is_not_the_only_one_asked() {
    let mut rng = StdRng::seed_from_u64(SEED);
    let instance_zone: ZoneId = "z1".parse().unwrap();
    for _ in 0..100 {
        let order = adviser_order(nodes(), &instance_zone, &mut rng);
        assert_eq!(zone_of(&order[0]), instance_zone);
        let first_zones: BTreeSet<ZoneId> = order[..3].iter().map(zone_of).collect();
        assert_eq!(first_zones.len(), 3, "{order:?}");
    }
}

#[test]
fn every_node_is_asked_once() {
    let mut rng = StdRng::seed_from_u64(SEED);
    let order = adviser_order(nodes(), &"z9".parse().unwrap(), &mut rng);
    let distinct: BTreeSet<&NodeId> = order.iter().collect();
    assert_eq!((order.len(), distinct.len()), (9, 9));
}
