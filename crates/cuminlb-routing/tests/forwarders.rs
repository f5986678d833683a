//! Tests of which node forwards the requests of one that has lost its links.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails by panicking"
)]

use std::collections::BTreeMap;
use std::time::Duration;

use cuminlb_routing::{ForwarderBoard, ForwarderCandidate, ForwarderOutcome};
use cuminlb_types::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

const SEED: u64 = 31;

fn node(number: usize) -> NodeId {
    format!("n{number}").parse().unwrap()
}

/// Returns nodes of which the first `near` are in the zone of the one that asks.
fn candidates(count: usize, near: usize) -> Vec<ForwarderCandidate> {
    let candidates = (0..count).map(|number| ForwarderCandidate {
        node: node(number),
        is_same_zone: number < near,
    });
    candidates.collect()
}

#[test]
fn nodes_of_the_same_zone_are_asked_first() {
    let (board, now) = (ForwarderBoard::default(), Instant::now());
    let mut rng = StdRng::seed_from_u64(SEED);
    for _ in 0..100 {
        let order = board.order(candidates(9, 2), now, &mut rng);
        assert_eq!(order.len(), 9);
        let is_near = |it: &NodeId| *it == node(0) || *it == node(1);
        assert!(order[..2].iter().all(is_near), "{order:?}");
    }
}

#[test]
fn the_requests_are_shared_by_the_nodes_that_can_forward() {
    let (board, now) = (ForwarderBoard::default(), Instant::now());
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut first: BTreeMap<NodeId, usize> = BTreeMap::new();
    for number in 0..3 {
        board.record(&node(number), ForwarderOutcome::Able, now);
    }
    for _ in 0..3_000 {
        let order = board.order(candidates(3, 3), now, &mut rng);
        *first.entry(order[0].clone()).or_default() += 1;
    }
    assert!(first.values().all(|count| *count > 800), "{first:?}");
}

#[test]
fn a_node_without_links_is_left_alone_for_a_while() {
    let (board, now) = (ForwarderBoard::default(), Instant::now());
    let mut rng = StdRng::seed_from_u64(SEED);
    board.record(&node(0), ForwarderOutcome::NoLinks, now);
    board.record(&node(1), ForwarderOutcome::Failed, now);
    let order = board.order(candidates(3, 3), now, &mut rng);
    assert_eq!(order, [node(2)]);
    let later = now + Duration::from_millis(1_500);
    assert_eq!(board.order(candidates(3, 3), later, &mut rng).len(), 3);
}

#[test]
fn there_is_nobody_to_ask_when_no_node_has_links() {
    let (board, now) = (ForwarderBoard::default(), Instant::now());
    for number in 0..3 {
        board.record(&node(number), ForwarderOutcome::NoLinks, now);
    }
    let mut rng = StdRng::seed_from_u64(SEED);
    assert!(board.order(candidates(3, 3), now, &mut rng).is_empty());
}

#[test]
fn the_few_nodes_with_links_are_found_among_many_without() {
    let now = Instant::now();
    let mut rng = StdRng::seed_from_u64(SEED);
    let board = ForwarderBoard::default();
    let has_links = |node_id: &NodeId| (0..30).any(|number| *node_id == node(number * 10));
    let mut served = 0;
    for request in 0..300_u64 {
        let now = now + Duration::from_millis(10 * request);
        let order = board.order(candidates(300, 0), now, &mut rng);
        for asked in order.into_iter().take(8) {
            let outcome = if has_links(&asked) {
                ForwarderOutcome::Able
            } else {
                ForwarderOutcome::NoLinks
            };
            board.record(&asked, outcome, now);
            if outcome == ForwarderOutcome::Able {
                served += 1;
                break;
            }
        }
    }
    assert!(served >= 270, "{served} of 300 requests were forwarded");
}
