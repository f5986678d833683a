//! Properties of the quarantine: agreement between nodes, expiry and bounds.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

use std::collections::BTreeSet;

use cuminlb_routing::{Crash, CrashId, QUARANTINE_MS, Quarantine};
use cuminlb_types::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, RngSeed};

const NODES: usize = 3;
const REQUESTS: usize = 3;

#[derive(Clone, Copy, Debug)]
enum Step {
    Crash {
        node: usize,
        request: usize,
        group: u8,
    },
    Answered {
        node: usize,
        request: usize,
    },
    Exchange {
        from: usize,
        to: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let crash = (0..NODES, 0..REQUESTS, 0_u8..4).prop_map(|(node, request, group)| Step::Crash {
        node,
        request,
        group,
    });
    let answered =
        (0..NODES, 0..REQUESTS).prop_map(|(node, request)| Step::Answered { node, request });
    let exchange = (0..NODES, 0..NODES).prop_map(|(from, to)| Step::Exchange { from, to });
    prop_oneof![2 => crash, 1 => answered, 2 => exchange]
}

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(0x5eed_0004),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn fingerprint(request: usize) -> RequestFingerprint {
    format!("fingerprint-{request}").parse().unwrap()
}

fn crash(group: u8, at_ms: u64) -> Crash {
    let id = CrashId {
        group: format!("group-{group}").parse().unwrap(),
        epoch: Epoch(1),
    };
    Crash {
        id,
        at_ms: UnixMillis(at_ms),
    }
}

proptest! {
    #![proptest_config(config())]

    /// Once all nodes have exchanged their suspects, they agree: a request is quarantined if and
    /// only if it was running at two distinct groups that crashed since it was last answered.
    #[test]
    fn nodes_agree_on_quarantined_requests(steps in prop::collection::vec(step(), 0..40)) {
        let nodes: Vec<Quarantine> = (0..NODES).map(|_| Quarantine::default()).collect();
        // For each request: its crashes with the time of first detection, and the last clearance.
        let mut detected: Vec<Vec<(u8, u64)>> = vec![Vec::new(); REQUESTS];
        let mut cleared = [0_u64; REQUESTS];
        for (index, step) in steps.iter().enumerate() {
            let now = 1_000 + index as u64;
            match *step {
                Step::Crash { node, request, group } => {
                    // A group crashes once per epoch; all nodes use the time of first detection.
                    let known = detected[request].iter().find(|(known, _)| *known == group);
                    let at = known.map_or(now, |(_, at)| *at);
                    if known.is_none() {
                        detected[request].push((group, now));
                    }
                    nodes[node].record_crash(&fingerprint(request), crash(group, at));
                }
                Step::Answered { node, request } => {
                    let is_known = nodes[node].is_suspect(&fingerprint(request), UnixMillis(now));
                    if is_known {
                        nodes[node].clear(&fingerprint(request), UnixMillis(now));
                        cleared[request] = now;
                    }
                }
                Step::Exchange { from, to } => nodes[to].merge(&nodes[from].newest()),
            }
        }
        for _ in 0..NODES {
            for from in 0..NODES {
                for to in 0..NODES {
                    nodes[to].merge(&nodes[from].newest());
                }
            }
        }
        let now = UnixMillis(2_000);
        for request in 0..REQUESTS {
            let groups: BTreeSet<u8> = detected[request]
                .iter()
                .filter(|(_, at)| *at > cleared[request])
                .map(|(group, _)| *group)
                .collect();
            for node in &nodes {
                let quarantined = node.is_quarantined(&fingerprint(request), now);
                prop_assert_eq!(quarantined, groups.len() >= 2, "{:?}", groups);
            }
        }
    }
}

#[test]
fn quarantine_ends_by_expiry_or_clearance() {
    let quarantine = Quarantine::default();
    let crashing = fingerprint(0);
    quarantine.record_crash(&crashing, crash(0, 1_000));
    assert!(quarantine.is_suspect(&crashing, UnixMillis(1_001)));
    assert!(!quarantine.is_quarantined(&crashing, UnixMillis(1_001)));
    quarantine.record_crash(&crashing, crash(1, 1_002));
    assert!(quarantine.is_quarantined(&crashing, UnixMillis(1_003)));
    let expired_at_ms = UnixMillis(1_000 + QUARANTINE_MS.get());
    assert!(!quarantine.is_quarantined(&crashing, expired_at_ms));
    quarantine.clear(&crashing, UnixMillis(1_004));
    assert!(!quarantine.is_quarantined(&crashing, UnixMillis(1_005)));
}

#[test]
fn suspect_list_is_bounded() {
    let quarantine = Quarantine::default();
    for request in 0..3_000_u32 {
        let fingerprint = format!("fingerprint-{request}").parse().unwrap();
        quarantine.record_crash(&fingerprint, crash(0, u64::from(request)));
    }
    assert_eq!(quarantine.newest().len(), 64);
    assert!(!quarantine.is_suspect(&fingerprint(0), UnixMillis(1)));
    assert!(quarantine.is_suspect(&fingerprint(2_999), UnixMillis(3_000)));
}
