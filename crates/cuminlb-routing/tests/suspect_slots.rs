//! The owner of a group keeps the suspects of different nodes apart.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use cuminlb_routing::{ReleaseReason, SlotDenial, SlotHolder, SlotId, SlotLedger, SlotTiming};
use cuminlb_types::prelude::*;
use tokio::time::Instant;

const TIMING: SlotTiming = SlotTiming {
    max_send_ms: Millis(100),
    max_report_lag_ms: Millis(500),
    max_cancel_ms: Millis(1_000),
    max_request_ms: Millis(10_000),
    holder_timeout_ms: Millis(3_000),
};

const LIMIT: SlotCount = SlotCount(8);

fn slot(node: &str) -> SlotId {
    SlotId {
        holder: SlotHolder {
            node: node.parse().unwrap(),
            incarnation: Incarnation(1),
        },
        ticket: SlotTicket(1),
    }
}

fn ledger() -> SlotLedger {
    SlotLedger::after_idle_owner(FencingNumber(1), Epoch(1), TIMING)
}

#[test]
fn suspects_of_two_nodes_do_not_run_at_one_group() {
    let mut ledger = ledger();
    let now = Instant::now();
    let first = ledger.grant_suspect(&slot("node-0"), Epoch(1), LIMIT, now);
    assert!(first.is_ok());
    let second = ledger.grant_suspect(&slot("node-1"), Epoch(1), LIMIT, now);
    assert_eq!(second, Err(SlotDenial::SuspectRunning));
    // Requests that are not suspected are served beside it, and a repeated request is granted.
    assert!(ledger.grant(&slot("node-2"), Epoch(1), LIMIT, now).is_ok());
    let repeated = ledger.grant_suspect(&slot("node-0"), Epoch(1), LIMIT, now);
    assert!(repeated.is_ok());
}

#[test]
fn the_next_suspect_runs_when_the_first_has_certainly_ended() {
    let mut ledger = ledger();
    let start = Instant::now();
    let granted = ledger.grant_suspect(&slot("node-0"), Epoch(1), LIMIT, start);
    assert!(granted.is_ok());
    ledger.release(&slot("node-0"), ReleaseReason::Abandoned, start);
    let while_cancelled = ledger.grant_suspect(&slot("node-1"), Epoch(1), LIMIT, start);
    assert_eq!(while_cancelled, Err(SlotDenial::SuspectRunning));
    let later = start + Duration::from_millis(1_100);
    let granted = ledger.grant_suspect(&slot("node-1"), Epoch(1), LIMIT, later);
    assert!(granted.is_ok());
    ledger.release(&slot("node-1"), ReleaseReason::Finished, later);
    let granted = ledger.grant_suspect(&slot("node-0"), Epoch(1), LIMIT, later);
    assert!(granted.is_ok());
}
