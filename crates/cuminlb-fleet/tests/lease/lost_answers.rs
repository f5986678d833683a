//! Leases after writes whose answers were lost.

use std::time::Duration;

use cuminlb_fleet::lease::{LeaseAnswer, LeaseWriteOutcome};
use tokio::time::Instant;

use crate::support::{TIMING, candidate, found, version};

const USABLE: Duration = Duration::from_millis(TIMING.length_ms.get() - TIMING.margin_ms.get());
const STEP: Duration = Duration::from_millis(500);

#[test]
fn a_lease_is_counted_from_the_first_of_two_writes_without_an_answer() {
    let start = Instant::now();
    let mut holder = candidate(1, 1);
    let acquire = holder.prepare_write(TIMING.length_ms, start);
    let written = LeaseAnswer::Written {
        version: version(0, 10),
    };
    holder.handle_answer(&acquire, written, acquire.sent_at);
    let stands = holder.prepare_write(TIMING.length_ms, start + STEP);
    holder.handle_answer(&stands, LeaseAnswer::Unknown, stands.sent_at);
    let refused = holder.prepare_write(TIMING.length_ms, start + STEP * 2);
    holder.handle_answer(&refused, LeaseAnswer::Unknown, refused.sent_at);
    let last = holder.prepare_write(TIMING.length_ms, start + STEP * 3);
    let found = found(&stands, version(0, 11));
    let outcome = holder.handle_answer(&last, found, last.sent_at);
    assert_eq!(outcome, LeaseWriteOutcome::Held);
    assert_eq!(holder.held().unwrap().valid_until, stands.sent_at + USABLE);
}

#[test]
fn a_lease_is_not_counted_from_a_write_that_was_answered_long_ago() {
    let start = Instant::now();
    let mut holder = candidate(1, 1);
    let acquire = holder.prepare_write(TIMING.length_ms, start);
    holder.handle_answer(&acquire, LeaseAnswer::Unknown, acquire.sent_at);
    let renew = holder.prepare_write(TIMING.length_ms, start + STEP);
    let written = LeaseAnswer::Written {
        version: version(0, 10),
    };
    holder.handle_answer(&renew, written, renew.sent_at);
    let stands = holder.prepare_write(TIMING.length_ms, start + STEP * 2);
    holder.handle_answer(&stands, LeaseAnswer::Unknown, stands.sent_at);
    let last = holder.prepare_write(TIMING.length_ms, start + STEP * 3);
    let found = found(&stands, version(0, 11));
    holder.handle_answer(&last, found, last.sent_at);
    assert_eq!(holder.held().unwrap().valid_until, stands.sent_at + USABLE);
}

#[test]
fn a_write_that_was_refused_does_not_shorten_the_lease_of_a_later_one() {
    let start = Instant::now();
    let mut holder = candidate(1, 1);
    let refused = holder.prepare_write(TIMING.length_ms, start);
    holder.handle_answer(&refused, LeaseAnswer::Refused, refused.sent_at);
    let stands = holder.prepare_write(TIMING.length_ms, start + STEP);
    holder.handle_answer(&stands, LeaseAnswer::Unknown, stands.sent_at);
    let last = holder.prepare_write(TIMING.length_ms, start + STEP * 2);
    let found = found(&stands, version(0, 11));
    holder.handle_answer(&last, found, last.sent_at);
    assert_eq!(holder.held().unwrap().valid_until, stands.sent_at + USABLE);
}
