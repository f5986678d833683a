//! A silent instance is lost only once its silence has lasted, and one that has ended at once.

use std::time::Duration;

use cuminlb_assembly::{ProbeSeries, ProbeVerdict};
use cuminlb_catalog::{InstanceReport, ProbeResponse};
use cuminlb_types::prelude::*;
use proptest::prelude::*;
use tokio::time::Instant;

/// A silence that a sound process may have, counted from the first probe.
const SHORT_SILENCE: Duration = Duration::from_millis(1_000);

/// Probes an instance every 110 ms that responds with `response` from `from` on and is silent
/// before; returns the verdict and when it was given.
fn probe(response: &ProbeResponse, from: Duration) -> (ProbeVerdict, Duration) {
    let start = Instant::now();
    let mut series = ProbeSeries::new(2, start);
    let mut now = start;
    loop {
        let is_silent = now.duration_since(start) < from;
        now += Duration::from_millis(if is_silent { 110 } else { 1 });
        let response = if is_silent {
            &ProbeResponse::Silent
        } else {
            response
        };
        match series.record(response, now) {
            ProbeVerdict::ProbeAgain { delay } => now += delay,
            verdict => return (verdict, now.duration_since(start)),
        }
    }
}

fn report() -> ProbeResponse {
    ProbeResponse::Report(InstanceReport {
        incarnation: Incarnation(1),
        orders: OrderSequence(0),
        is_leaving: false,
        is_busy: false,
        waiting: 0,
        running: 0,
        slowdown: 1.0,
        staged: Vec::new(),
        seat: None,
    })
}

#[test]
fn an_instance_whose_process_has_ended_is_lost_at_once() {
    let (verdict, elapsed) = probe(&ProbeResponse::Failed, Duration::ZERO);
    assert_eq!(verdict, ProbeVerdict::Lost);
    assert!(elapsed < Duration::from_millis(10), "{elapsed:?}");
}

#[test]
fn an_instance_that_stays_silent_is_lost() {
    let (verdict, elapsed) = probe(&ProbeResponse::Silent, Duration::ZERO);
    assert_eq!(verdict, ProbeVerdict::Lost);
    assert!(elapsed < Duration::from_millis(1_600), "{elapsed:?}");
}

proptest! {
    #![proptest_config(crate::properties::config())]

    #[test]
    fn an_instance_that_responds_after_a_short_silence_is_not_lost(
        silence_ms in 0..=SHORT_SILENCE.as_millis() as u64,
    ) {
        let (verdict, _) = probe(&report(), Duration::from_millis(silence_ms));
        prop_assert_eq!(verdict, ProbeVerdict::Responding);
    }
}
