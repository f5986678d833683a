//! A lease row that can't be decoded.

use std::time::Duration;

use cuminlb_types::prelude::*;
use tokio::time::Instant;

use crate::support::{MAX_EXTENSION_MS, TIMING, candidate, version};

#[test]
fn a_row_that_cannot_be_decoded_is_replaced_once_any_lease_has_ended() {
    let start = Instant::now();
    let mut node = candidate(1, 1);
    let end = start + (TIMING.length_ms + MAX_EXTENSION_MS).duration();
    assert!(!node.may_replace_unreadable(version(0, 7), start));
    assert!(!node.may_replace_unreadable(version(0, 7), end - Duration::from_millis(1)));
    assert!(node.may_replace_unreadable(version(0, 7), end));
    let write = node.prepare_write(TIMING.length_ms, end);
    assert_eq!(write.expected, version(0, 7));
    assert_eq!(write.row.fencing, FencingNumber(8));
}

#[test]
fn a_row_that_was_overwritten_once_more_is_observed_anew() {
    let start = Instant::now();
    let mut node = candidate(1, 1);
    let end = start + (TIMING.length_ms + MAX_EXTENSION_MS).duration();
    assert!(!node.may_replace_unreadable(version(0, 7), start));
    assert!(!node.may_replace_unreadable(version(0, 8), end));
}
