//! Tests of what two nodes tell each other about a request that one forwards for the other.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails by panicking"
)]

use cuminlb_peer::{ForwardOrder, ForwardOutcome};
use cuminlb_types::prelude::*;
use http::{HeaderMap, HeaderValue};

const OUTCOMES: [ForwardOutcome; 9] = [
    ForwardOutcome::Reached,
    ForwardOutcome::NoLinks,
    ForwardOutcome::UnknownInstance,
    ForwardOutcome::Busy,
    ForwardOutcome::Leaving,
    ForwardOutcome::Unavailable {
        retry_after_ms: Millis(1_250),
    },
    ForwardOutcome::NotConnected,
    ForwardOutcome::NotSent,
    ForwardOutcome::NoResponse,
];

#[test]
fn an_order_is_taken_out_of_the_headers_as_it_was_written() {
    let order = ForwardOrder {
        instance: "i-7f3a91c2".parse().unwrap(),
        incarnation: Incarnation(1_770_812_832_014),
        request: "9c41d07be2a35f68".parse().unwrap(),
        remaining_ms: Millis(7_990),
    };
    let mut headers = HeaderMap::new();
    headers.insert("x-attempt-id", HeaderValue::from_static("9c41d07be2a35f68"));
    let before = headers.clone();
    order.write(&mut headers).unwrap();
    assert_eq!(ForwardOrder::take(&mut headers).unwrap(), order);
    assert_eq!(headers, before);
}

#[test]
fn an_order_with_a_missing_or_malformed_header_is_rejected() {
    assert!(ForwardOrder::take(&mut HeaderMap::new()).is_err());
    let order = ForwardOrder {
        instance: "i-1".parse().unwrap(),
        incarnation: Incarnation(1),
        request: "r-1".parse().unwrap(),
        remaining_ms: Millis(1),
    };
    let mut headers = HeaderMap::new();
    order.write(&mut headers).unwrap();
    let value = HeaderValue::from_static("-1");
    headers.insert("cuminlb-forward-remaining-ms", value);
    assert!(ForwardOrder::take(&mut headers).is_err());
}

#[test]
fn every_outcome_is_taken_out_of_the_headers_as_it_was_written() {
    for outcome in OUTCOMES {
        let mut headers = HeaderMap::new();
        outcome.write(&mut headers);
        assert_eq!(ForwardOutcome::take(&mut headers).unwrap(), outcome);
        assert!(headers.is_empty());
    }
}

#[test]
fn a_response_without_an_outcome_is_not_taken_for_that_of_an_instance() {
    assert!(ForwardOutcome::take(&mut HeaderMap::new()).is_err());
    assert!("reached-not".parse::<ForwardOutcome>().is_err());
}

#[test]
fn an_outcome_that_an_instance_states_is_replaced() {
    let mut headers = HeaderMap::new();
    ForwardOutcome::NotSent.write(&mut headers);
    ForwardOutcome::Reached.write(&mut headers);
    assert_eq!(
        ForwardOutcome::take(&mut headers).unwrap(),
        ForwardOutcome::Reached
    );
}
