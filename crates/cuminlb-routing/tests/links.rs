//! Tests of the decisions of a node about its own links to instances.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails by panicking"
)]

use std::time::Duration;

use cuminlb_routing::{
    InstanceVerdict, LeadFitness, LinkBoard, LinkChange, LinkFailure, LinkRoute, SecondOpinion,
};
use cuminlb_types::prelude::*;
use proptest::prelude::{ProptestConfig, any, prop_assert, prop_assert_eq, proptest};
use tokio::time::Instant;

fn instance(number: usize) -> InstanceId {
    format!("i{number}").parse().unwrap()
}

fn after(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

/// Returns the board of a node that lost its links to three instances in succession.
fn lost_board(failure: LinkFailure, now: Instant) -> LinkBoard {
    let board = LinkBoard::default();
    for number in 0..3 {
        let change = board.record_outage(&instance(number), failure, now);
        let expected = if number == 2 {
            LinkChange::Lost
        } else {
            LinkChange::None
        };
        assert_eq!(change, expected);
    }
    board
}

#[test]
fn an_instance_that_another_node_reaches_is_never_lost() {
    for other in [
        SecondOpinion::Lost,
        SecondOpinion::Unknown,
        SecondOpinion::Reached,
    ] {
        let opinions = [other, SecondOpinion::Reached];
        assert_eq!(InstanceVerdict::judge(&opinions), InstanceVerdict::LinkLost);
    }
}

#[test]
fn an_instance_is_not_lost_because_nodes_without_links_do_not_reach_it() {
    let opinions = [SecondOpinion::Unknown, SecondOpinion::Unknown];
    let verdict = InstanceVerdict::judge(&opinions);
    assert_eq!(verdict, InstanceVerdict::Undecided);
}

#[test]
fn a_node_that_can_ask_no_other_goes_by_what_it_sees() {
    assert_eq!(InstanceVerdict::judge(&[]), InstanceVerdict::InstanceLost);
}

#[test]
fn one_unreached_instance_leaves_the_others_alone() {
    let now = Instant::now();
    let board = LinkBoard::default();
    board.record_outage(&instance(0), LinkFailure::Silent, now);
    assert_eq!(board.route(&instance(0)), LinkRoute::Forwarded);
    assert_eq!(board.route(&instance(1)), LinkRoute::Direct);
    assert_eq!(board.lead_fitness(), LeadFitness::Fit);
    assert_eq!(board.lost_since(), None);
}

#[test]
fn links_lost_only_to_some_instances_are_no_loss_of_all() {
    let start = Instant::now();
    let board = LinkBoard::default();
    for number in 0..20 {
        let now = after(start, 100 * number as u64);
        board.record_contact(&instance(99), now);
        let change = board.record_outage(&instance(number), LinkFailure::Silent, now);
        assert_eq!(change, LinkChange::None);
    }
    assert_eq!(board.lost_since(), None);
    assert_eq!(board.route(&instance(99)), LinkRoute::Direct);
    assert_eq!(board.lead_fitness(), LeadFitness::Impaired);
}

#[test]
fn requests_to_all_instances_are_forwarded_when_all_links_are_lost() {
    let now = Instant::now();
    let board = lost_board(LinkFailure::Silent, now);
    assert_eq!(board.route(&instance(77)), LinkRoute::Forwarded);
    assert_eq!(board.lost_since(), Some(now));
    assert_eq!(board.lead_fitness(), LeadFitness::Unfit);
}

#[test]
fn open_connections_are_used_while_only_new_ones_are_refused() {
    let now = Instant::now();
    let board = lost_board(LinkFailure::Refused, now);
    assert_eq!(board.route(&instance(0)), LinkRoute::OpenOrForwarded);
    assert_eq!(board.route(&instance(77)), LinkRoute::OpenOrForwarded);
    board.record_outage(&instance(1), LinkFailure::Silent, now);
    assert_eq!(board.route(&instance(0)), LinkRoute::OpenOrForwarded);
    assert_eq!(board.route(&instance(1)), LinkRoute::Forwarded);
    assert_eq!(board.route(&instance(77)), LinkRoute::Forwarded);
}

#[test]
fn a_refused_check_does_not_bring_silent_connections_back_into_use() {
    let now = Instant::now();
    let board = LinkBoard::default();
    board.record_outage(&instance(0), LinkFailure::Silent, now);
    board.record_outage(&instance(0), LinkFailure::Refused, now);
    assert_eq!(board.route(&instance(0)), LinkRoute::Forwarded);
}

#[test]
fn links_that_are_recorded_lost_one_by_one_are_found_lost_by_the_checks() {
    let start = Instant::now();
    let board = LinkBoard::default();
    board.record_contact(&instance(9), start);
    for number in 0..3 {
        board.record_outage(&instance(number), LinkFailure::Silent, after(start, 300));
    }
    assert_eq!(board.lost_since(), None);
    let change = board.record_check_failed(&instance(0), after(start, 500));
    assert_eq!(change, LinkChange::Lost);
}

#[test]
fn all_links_are_used_again_once_two_instances_are_reached() {
    let start = Instant::now();
    let board = lost_board(LinkFailure::Silent, start);
    let first = board.record_opened(&instance(0), after(start, 900));
    assert_eq!(first, LinkChange::None);
    assert_eq!(board.route(&instance(77)), LinkRoute::Forwarded);
    let second = board.record_opened(&instance(1), after(start, 1_000));
    let outage = Duration::from_millis(1_000);
    assert_eq!(second, LinkChange::Regained { outage });
    assert_eq!(board.route(&instance(2)), LinkRoute::Direct);
    assert_eq!(board.lead_fitness(), LeadFitness::Fit);
}

#[test]
fn one_instance_that_is_reached_between_failures_does_not_end_the_loss() {
    let start = Instant::now();
    let board = lost_board(LinkFailure::Silent, start);
    for step in 1..10 {
        board.record_opened(&instance(0), after(start, 1_000 * step));
        let now = after(start, 1_000 * step + 500);
        board.record_check_failed(&instance(1), now);
        board.record_outage(&instance(0), LinkFailure::Silent, now);
    }
    assert_eq!(board.lost_since(), Some(start));
}

#[test]
fn the_checks_take_turns() {
    let start = Instant::now();
    let board = lost_board(LinkFailure::Silent, start);
    let mut checked = Vec::new();
    for step in 1..=3 {
        let id = board.next_check().unwrap();
        board.record_check_failed(&id, after(start, step));
        checked.push(id);
    }
    checked.sort();
    assert_eq!(checked, [instance(0), instance(1), instance(2)]);
}

#[test]
fn instances_that_are_gone_do_not_keep_the_links_lost() {
    let board = lost_board(LinkFailure::Silent, Instant::now());
    board.retain(|_| false);
    assert_eq!(board.lost_since(), None);
    assert_eq!(board.next_check(), None);
}

#[test]
fn a_link_in_doubt_is_not_checked_by_every_request() {
    let start = Instant::now();
    let board = LinkBoard::default();
    assert!(board.begin_check(&instance(0), start));
    assert!(!board.begin_check(&instance(0), after(start, 499)));
    assert!(board.begin_check(&instance(1), after(start, 499)));
    assert!(board.begin_check(&instance(0), after(start, 500)));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, ..ProptestConfig::default() })]

    /// Whatever happens, an instance that was reached last is reached directly unless all links are
    /// lost, and links that are lost come back once all instances are reached.
    #[test]
    fn links_always_come_back(steps in proptest::collection::vec((any::<bool>(), 0_usize..6, any::<bool>()), 0..60)) {
        let start = Instant::now();
        let board = LinkBoard::default();
        for (step, (is_opened, number, is_silent)) in steps.into_iter().enumerate() {
            let now = after(start, 50 * step as u64);
            if is_opened {
                board.record_opened(&instance(number), now);
                let is_direct = board.route(&instance(number)) == LinkRoute::Direct;
                prop_assert!(is_direct || board.lost_since().is_some());
            } else {
                let failure = if is_silent { LinkFailure::Silent } else { LinkFailure::Refused };
                board.record_outage(&instance(number), failure, now);
                prop_assert!(board.route(&instance(number)) != LinkRoute::Direct);
            }
        }
        for number in 0..6 {
            board.record_opened(&instance(number), after(start, 60_000));
        }
        prop_assert_eq!(board.lost_since(), None);
        prop_assert_eq!(board.outage_count(), 0);
        prop_assert_eq!(board.lead_fitness(), LeadFitness::Fit);
    }
}
