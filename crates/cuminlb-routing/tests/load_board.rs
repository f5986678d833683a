//! Nodes that each send few requests know the load of all, through relays.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use cuminlb_routing::{InFlightCount, LoadBoard};
use cuminlb_types::prelude::*;
use tokio::time::Instant;

fn node(name: &str) -> NodeId {
    name.parse().unwrap()
}

fn head(name: &str) -> InstanceId {
    name.parse().unwrap()
}

fn counts(entries: &[(&str, u32)]) -> Vec<InFlightCount> {
    let entries = entries.iter();
    entries
        .map(|(instance, requests)| InFlightCount {
            instance: head(instance),
            requests: *requests,
        })
        .collect()
}

#[test]
fn a_follower_learns_the_load_of_all_other_nodes_but_not_its_own() {
    let now = Instant::now();
    let relay = LoadBoard::default();
    relay.record_relay(&node("relay-b"), counts(&[("i1", 7), ("i2", 1)]), now);
    relay.exchange_with_follower(&node("n1"), counts(&[("i1", 2)]), &[], now);
    let own = counts(&[("i3", 4)]);
    let told = relay.exchange_with_follower(&node("n2"), counts(&[("i1", 5)]), &own, now);
    assert_eq!(told, counts(&[("i1", 9), ("i2", 1), ("i3", 4)]));
    let follower = LoadBoard::default();
    assert_eq!(follower.others_in_flight(&head("i1"), now), None);
    follower.record_told(told, now);
    assert_eq!(follower.others_in_flight(&head("i1"), now), Some(9));
    assert_eq!(follower.others_in_flight(&head("i9"), now), Some(0));
}

#[test]
fn relays_tell_each_other_only_their_own_followers() {
    let now = Instant::now();
    let relay = LoadBoard::default();
    relay.exchange_with_follower(&node("n1"), counts(&[("i1", 2)]), &[], now);
    relay.record_relay(&node("relay-c"), counts(&[("i1", 100)]), now);
    let own = counts(&[("i1", 1)]);
    let told = relay.exchange_with_relay(&node("relay-b"), counts(&[("i1", 10)]), &own, now);
    assert_eq!(told, counts(&[("i1", 3)]));
    relay.refresh(now);
    assert_eq!(relay.others_in_flight(&head("i1"), now), Some(112));
}

#[test]
fn old_reports_are_ignored() {
    let now = Instant::now();
    let board = LoadBoard::default();
    board.record_told(counts(&[("i1", 2)]), now);
    let later = now + Duration::from_secs(2);
    assert_eq!(board.others_in_flight(&head("i1"), later), None);
    assert_eq!(
        board.own_sums(&counts(&[("i1", 1)]), later),
        counts(&[("i1", 1)])
    );
}
