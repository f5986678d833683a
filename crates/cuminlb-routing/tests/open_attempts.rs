//! An attempt that may still respond stays open until another one has responded, and a request never
//! runs on more instances than it may.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeSet;

use cuminlb_routing::{OpenAttempts, Selection};
use cuminlb_types::prelude::*;
use proptest::prelude::*;

const INSTANCES: usize = 5;

/// What happens to an open attempt, which is chosen by its position.
#[derive(Clone, Copy, Debug)]
enum Incident {
    Silence(usize),
    Refusal(usize),
    Failure(usize),
    Delivery(usize),
}

fn incident() -> impl Strategy<Value = Incident> {
    let position = 0_usize..4;
    prop_oneof![
        position.clone().prop_map(Incident::Silence),
        position.clone().prop_map(Incident::Refusal),
        position.clone().prop_map(Incident::Failure),
        position.prop_map(Incident::Delivery),
    ]
}

fn instance(number: usize) -> InstanceId {
    format!("w{number}").parse().unwrap()
}

#[test]
fn a_silent_attempt_stays_open_while_another_one_is_refused() {
    let mut attempts = OpenAttempts::new(2, true);
    let first = attempts.start(instance(0));
    assert!(attempts.has_responsive_attempt());
    attempts.record_silence(first);
    assert!(!attempts.has_responsive_attempt() && attempts.may_run_again());
    let second = attempts.start(instance(1));
    attempts.record_end(second, false);
    assert!(!attempts.is_empty() && attempts.may_run_again());
    assert_eq!(attempts.select(first), Selection::Unchanged);
}

#[test]
fn the_attempt_that_responds_first_is_selected() {
    for (winner, selection) in [(0, Selection::WentOn), (1, Selection::Moved)] {
        let mut attempts = OpenAttempts::new(2, true);
        let numbers = [attempts.start(instance(0)), attempts.start(instance(1))];
        assert_eq!(attempts.select(numbers[winner]), selection);
        assert_eq!(attempts.select(numbers[winner]), Selection::Unchanged);
        let may_run_on = [0, 1, 2].map(|number| attempts.may_run_on(&instance(number)));
        assert_eq!(may_run_on, [winner != 0, winner != 1, false]);
    }
}

#[test]
fn an_instance_that_has_failed_is_not_sent_the_request_again() {
    for may_have_run in [false, true] {
        let mut attempts = OpenAttempts::new(3, true);
        let first = attempts.start(instance(0));
        attempts.record_end(first, may_have_run);
        assert!(!attempts.may_run_on(&instance(0)) && attempts.may_run_on(&instance(1)));
    }
}

#[test]
fn a_response_moves_to_the_attempt_that_follows_a_failed_one() {
    let mut attempts = OpenAttempts::new(3, true);
    let first = attempts.start(instance(0));
    assert_eq!(attempts.select(first), Selection::Unchanged);
    attempts.record_end(first, true);
    let second = attempts.start(instance(1));
    assert_eq!(attempts.select(second), Selection::Moved);
}

proptest! {
    /// Whatever happens to the attempts of a request, the instances that may have run it are no more
    /// than allowed, it runs once at most if it must not be retried, no instance has two open attempts
    /// or is sent what it failed at, and no attempt ends but by its own end or because another one
    /// responds.
    #[test]
    fn instances_are_limited_and_no_attempt_ends_without_a_reason(
        max_instances in 1_u32..4,
        may_retry in any::<bool>(),
        incidents in prop::collection::vec((incident(), 0..INSTANCES), 1..30),
    ) {
        let mut attempts = OpenAttempts::new(max_instances, may_retry);
        let mut open: Vec<(AttemptNumber, usize)> = Vec::new();
        let mut silent: Vec<AttemptNumber> = Vec::new();
        let mut ended_on: BTreeSet<usize> = BTreeSet::new();
        let mut failed: BTreeSet<usize> = BTreeSet::new();
        let mut runs = 0_u32;
        for (incident, first_choice) in incidents {
            let order = (0..INSTANCES).map(|offset| (first_choice + offset) % INSTANCES);
            let chosen = order.into_iter().find(|it| attempts.may_run_on(&instance(*it)));
            if chosen.is_some() {
                prop_assert!(attempts.may_run_again());
            }
            if let Some(chosen) = chosen.filter(|_| !attempts.has_responsive_attempt()) {
                prop_assert!(runs == 0 || may_retry);
                prop_assert!(!failed.contains(&chosen));
                prop_assert!(open.iter().all(|(_, on)| *on != chosen));
                open.push((attempts.start(instance(chosen)), chosen));
                runs += 1;
            }
            let used: BTreeSet<usize> =
                open.iter().map(|(_, on)| *on).chain(ended_on.iter().copied()).collect();
            prop_assert!(used.len() as u32 <= max_instances, "{} instances", used.len());
            prop_assert!(may_retry || runs <= 1, "{} runs", runs);
            let at = |position: usize| open.get(position % open.len().max(1)).copied();
            match incident {
                Incident::Silence(position) => if let Some((number, _)) = at(position) {
                    attempts.record_silence(number);
                    silent.push(number);
                },
                Incident::Refusal(position) => if let Some((number, on)) = at(position) {
                    attempts.record_end(number, false);
                    open.retain(|(it, _)| *it != number);
                    failed.insert(on);
                    runs -= 1;
                },
                Incident::Failure(position) => if let Some((number, on)) = at(position) {
                    attempts.record_end(number, true);
                    open.retain(|(it, _)| *it != number);
                    failed.insert(on);
                    ended_on.insert(on);
                },
                Incident::Delivery(position) => if let Some((number, _)) = at(position) {
                    attempts.select(number);
                    let others = open.extract_if(.., |(it, _)| *it != number);
                    ended_on.extend(others.map(|(_, on)| on));
                    silent.clear();
                },
            }
            prop_assert_eq!(attempts.is_empty(), open.is_empty());
            prop_assert_eq!(attempts.may_have_run(), runs > 0);
            let has_responsive = open.iter().any(|(number, _)| !silent.contains(number));
            prop_assert_eq!(attempts.has_responsive_attempt(), has_responsive);
        }
    }
}

#[test]
fn a_stream_whose_link_is_lost_may_reach_its_instance_by_another_way() {
    let mut attempts = OpenAttempts::new(2, true);
    let first = attempts.start(instance(0));
    let second = attempts.start(instance(1));
    assert!(!attempts.may_run_again());
    attempts.record_lost_link(first);
    attempts.record_silence(second);
    assert!(attempts.may_run_again());
    assert!(attempts.may_run_on(&instance(0)));
    assert!(!attempts.may_run_on(&instance(1)));
    assert!(!attempts.may_run_on(&instance(2)));
}

#[test]
fn a_request_that_must_not_repeat_is_not_sent_again_when_its_link_is_lost() {
    let mut attempts = OpenAttempts::new(3, false);
    let first = attempts.start(instance(0));
    attempts.record_lost_link(first);
    assert!(!attempts.may_run_again());
    assert!(!attempts.may_run_on(&instance(0)));
}
