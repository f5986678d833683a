//! Leases in a store that is restored from a copy.

use std::time::Duration;

use cuminlb_fleet::lease::{LeaseAnswer, LeaseWriteOutcome};
use cuminlb_types::prelude::*;
use proptest::collection::vec;
use proptest::prelude::*;
use tokio::time::Instant;

use crate::simulation::{Simulation, event};
use crate::support::{MAX_EXTENSION_MS, TIMING, candidate, found, runner, version};

/// The longest sequence of events.
const MAX_EVENTS: usize = 160;

const STEP: Duration = Duration::from_millis(500);

#[test]
fn two_nodes_never_hold_the_lease_at_once_although_the_store_is_restored() {
    let cases = (2..5_usize, vec(event(), 1..MAX_EVENTS));
    runner()
        .run(&cases, |(nodes, events)| {
            let mut simulation = Simulation::new(nodes);
            for event in &events {
                simulation.apply(event);
                let holders = simulation.holders();
                prop_assert!(holders.len() <= 1, "{holders:?} after {event:?}");
            }
            prop_assert_eq!(simulation.settle().len(), 1);
            Ok(())
        })
        .unwrap();
}

#[test]
fn a_holder_goes_on_leading_when_the_copy_lacks_its_acquisition() {
    let start = Instant::now();
    let mut holder = candidate(1, 1);
    let older = candidate(2, 1).prepare_write(TIMING.length_ms, start);
    let acquire = holder.prepare_write(TIMING.length_ms, start);
    let written = LeaseAnswer::Written {
        version: version(0, 10),
    };
    holder.handle_answer(&acquire, written, start);
    let renew = holder.prepare_write(TIMING.length_ms, start + STEP);
    let outcome = holder.handle_answer(&renew, found(&older, version(1, 4)), start + STEP);
    assert_eq!(outcome, LeaseWriteOutcome::Restored);
    let again = holder.prepare_write(TIMING.length_ms, start + STEP);
    assert_eq!(again.expected, version(1, 4));
    assert_eq!(again.row.era, StoreEra(1));
    assert_eq!(again.row.fencing, acquire.row.fencing);
    let written = LeaseAnswer::Written {
        version: version(1, 5),
    };
    let outcome = holder.handle_answer(&again, written, start + STEP);
    assert_eq!(outcome, LeaseWriteOutcome::Held);
}

#[test]
fn a_holder_whose_lease_has_ended_does_not_continue_it_in_a_restored_store() {
    let start = Instant::now();
    let mut holder = candidate(1, 1);
    let acquire = holder.prepare_write(TIMING.length_ms, start);
    let written = LeaseAnswer::Written {
        version: version(0, 10),
    };
    holder.handle_answer(&acquire, written, start);
    let later = start + TIMING.length_ms.duration();
    let renew = holder.prepare_write(TIMING.length_ms, later);
    let outcome = holder.handle_answer(&renew, found(&acquire, version(1, 4)), later);
    assert_eq!(outcome, LeaseWriteOutcome::Lost);
    assert!(holder.held().is_none());
}

#[test]
fn a_released_lease_of_an_earlier_era_is_not_taken_at_once() {
    let start = Instant::now();
    let released = candidate(2, 1).prepare_write(Millis(0), start);
    let mut taker = candidate(1, 1);
    let wait = (TIMING.length_ms + MAX_EXTENSION_MS).duration();
    let mut may_acquire = |at: Instant| taker.may_acquire(released.row.clone(), version(1, 4), at);
    assert!(!may_acquire(start));
    assert!(!may_acquire(start + wait - Duration::from_millis(1)));
    assert!(may_acquire(start + wait));
}

#[test]
fn a_lease_that_is_missing_in_a_restored_store_is_not_taken_at_once() {
    let start = Instant::now();
    let mut taker = candidate(1, 1);
    assert!(taker.may_acquire_absent(StoreEra(3), start));
    let wait = (TIMING.length_ms + MAX_EXTENSION_MS).duration();
    assert!(!taker.may_acquire_absent(StoreEra(4), start + STEP));
    assert!(taker.may_acquire_absent(StoreEra(4), start + STEP + wait));
    let write = taker.prepare_write(TIMING.length_ms, start + STEP + wait);
    assert_eq!(write.expected, version(4, 0));
}

#[test]
fn a_write_that_matched_a_version_given_out_again_gives_no_lease() {
    let start = Instant::now();
    let mut taker = candidate(1, 1);
    assert!(taker.may_acquire_absent(StoreEra(0), start));
    let acquire = taker.prepare_write(TIMING.length_ms, start);
    let written = LeaseAnswer::Written {
        version: version(1, 5),
    };
    let outcome = taker.handle_answer(&acquire, written, start);
    assert_eq!(outcome, LeaseWriteOutcome::Lost);
    assert!(!taker.may_acquire(acquire.row, version(1, 5), start));
}
