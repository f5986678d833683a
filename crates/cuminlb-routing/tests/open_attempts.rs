//! An attempt that may still respond stays open until another one has responded, and a request never
//! runs more often than it may.

use cuminlb_routing::{OpenAttempts, Selection};
use cuminlb_types::prelude::*;
use proptest::prelude::*;

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

#[test]
fn a_silent_attempt_stays_open_while_another_one_is_refused() {
    let mut attempts = OpenAttempts::new(2, true);
    let first = attempts.start();
    assert!(attempts.has_responsive_attempt());
    attempts.record_silence(first);
    assert!(!attempts.has_responsive_attempt() && attempts.may_run_again());
    let second = attempts.start();
    attempts.record_end(second, false);
    assert!(!attempts.is_empty() && attempts.may_run_again());
    assert_eq!(attempts.select(first), Selection::Unchanged);
}

#[test]
fn the_attempt_that_responds_first_is_selected() {
    for (winner, selection) in [(0, Selection::WentOn), (1, Selection::Moved)] {
        let mut attempts = OpenAttempts::new(2, true);
        let numbers = [attempts.start(), attempts.start()];
        assert_eq!(attempts.select(numbers[winner]), selection);
        assert_eq!(attempts.select(numbers[winner]), Selection::Unchanged);
        assert!(!attempts.may_run_again(), "a cancelled attempt is a run");
    }
}

#[test]
fn a_response_moves_to_the_attempt_that_follows_a_failed_one() {
    let mut attempts = OpenAttempts::new(3, true);
    let first = attempts.start();
    assert_eq!(attempts.select(first), Selection::Unchanged);
    attempts.record_end(first, true);
    let second = attempts.start();
    assert_eq!(attempts.select(second), Selection::Moved);
}

proptest! {
    /// Whatever happens to the attempts of a request, those that may have run are no more than it
    /// may have, and none ends but by its own end or because another one responds.
    #[test]
    fn runs_are_limited_and_no_attempt_ends_without_a_reason(
        max_runs in 1_u32..4,
        may_retry in any::<bool>(),
        incidents in prop::collection::vec(incident(), 1..30),
    ) {
        let mut attempts = OpenAttempts::new(max_runs, may_retry);
        let mut open: Vec<AttemptNumber> = Vec::new();
        let mut silent: Vec<AttemptNumber> = Vec::new();
        let mut runs = 0_u32;
        for incident in incidents {
            if !attempts.has_responsive_attempt() && attempts.may_run_again() {
                prop_assert!(runs == 0 || may_retry);
                open.push(attempts.start());
                runs += 1;
            }
            let limit = if may_retry { max_runs } else { 1 };
            prop_assert!(runs <= limit, "{} runs", runs);
            let at = |position: usize| open.get(position % open.len().max(1)).copied();
            match incident {
                Incident::Silence(position) => if let Some(number) = at(position) {
                    attempts.record_silence(number);
                    silent.push(number);
                },
                Incident::Refusal(position) => if let Some(number) = at(position) {
                    attempts.record_end(number, false);
                    open.retain(|it| *it != number);
                    runs -= 1;
                },
                Incident::Failure(position) => if let Some(number) = at(position) {
                    attempts.record_end(number, true);
                    open.retain(|it| *it != number);
                },
                Incident::Delivery(position) => if let Some(number) = at(position) {
                    attempts.select(number);
                    open.retain(|it| *it == number);
                    silent.clear();
                },
            }
            prop_assert_eq!(attempts.is_empty(), open.is_empty());
            prop_assert_eq!(attempts.may_have_run(), runs > 0);
            let has_responsive = open.iter().any(|number| !silent.contains(number));
            prop_assert_eq!(attempts.has_responsive_attempt(), has_responsive);
        }
    }
}
