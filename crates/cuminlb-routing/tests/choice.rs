//! Properties of group selection and of the load estimates behind it.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails by panicking"
)]

use std::collections::BTreeMap;
use std::time::Duration;

use cuminlb_routing::{GroupCandidate, GroupChooser, LoadEstimates, PrefixKey, SlotLoad};
use cuminlb_types::prelude::*;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

/// The number of selections over which a distribution is measured.
const SELECTIONS: u32 = 2_000;

fn config() -> Config {
    Config {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0xC401),
        cases: 64,
        ..Config::default()
    }
}

fn group(number: usize) -> GroupId {
    format!("oar-assist-{number}").parse().unwrap()
}

fn candidate(number: usize, load: Option<f64>) -> GroupCandidate {
    GroupCandidate {
        group: group(number),
        epoch: Epoch(1),
        is_same_zone: true,
        load: load.map(Ratio),
    }
}

/// Returns how often each group is chosen for requests with the same prefix.
fn counts(candidates: &[GroupCandidate], prefix: &[u8], seed: u64) -> BTreeMap<GroupId, u32> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let chooser = GroupChooser {
        prefix: Some(PrefixKey::from_body(prefix)),
    };
    let mut counts = BTreeMap::new();
    for _ in 0..SELECTIONS {
        let chosen = chooser.choose(candidates, &mut rng).unwrap();
        *counts.entry(chosen.group.clone()).or_insert(0) += 1;
    }
    counts
}

proptest! {
    #![proptest_config(config())]

    /// Without any known load, requests are spread evenly, even if all have the same prefix.
    #[test]
    fn spread_is_even_without_known_loads(
        groups in 2..12_usize,
        prefix in vec(any::<u8>(), 0..600),
        seed in any::<u64>(),
    ) {
        let candidates: Vec<GroupCandidate> =
            (0..groups).map(|number| candidate(number, None)).collect();
        let even = f64::from(SELECTIONS) / groups as f64;
        let counts = counts(&candidates, &prefix, seed);
        for number in 0..groups {
            let count = f64::from(counts.get(&group(number)).copied().unwrap_or_default());
            prop_assert!((count - even).abs() <= 0.35 * even + 20.0, "{counts:?}");
        }
    }

    /// If the load of a single group is unknown, the group is neither avoided nor preferred.
    #[test]
    fn group_of_unknown_load_is_not_preferred(
        loads in vec(0.2..0.8_f64, 3..10),
        seed in any::<u64>(),
    ) {
        let mut candidates: Vec<GroupCandidate> = loads
            .iter()
            .enumerate()
            .map(|(number, load)| candidate(number, Some(*load)))
            .collect();
        candidates.push(candidate(loads.len(), None));
        let mut rng = SmallRng::seed_from_u64(seed);
        let chooser = GroupChooser::default();
        let is_unknown = |candidate: &GroupCandidate| candidate.load.is_none();
        let chosen = (0..SELECTIONS)
            .filter(|_| is_unknown(chooser.choose(&candidates, &mut rng).unwrap()));
        let chosen = chosen.count() as f64;
        // Of two random candidates, it is chosen over a group whose load is above the mean.
        let known = loads.len() as f64;
        let mean = loads.iter().sum::<f64>() / known;
        let above = loads.iter().filter(|load| **load > mean).count() as f64;
        let expected = f64::from(SELECTIONS) * 2.0 / (known + 1.0) * above / known;
        prop_assert!((chosen - expected).abs() <= 0.2 * expected + 40.0, "{chosen} {expected}");
    }

    /// A prefix is sent to its group only while that group has capacity.
    #[test]
    fn prefix_stays_at_its_group_while_capacity_remains(
        groups in 3..10_usize,
        prefix in vec(any::<u8>(), 1..600),
        seed in any::<u64>(),
    ) {
        let idle: Vec<GroupCandidate> = (0..groups).map(|n| candidate(n, Some(0.1))).collect();
        let idle_counts = counts(&idle, &prefix, seed);
        let (preferred, count) = idle_counts.iter().max_by_key(|(_, count)| **count).unwrap();
        prop_assert_eq!(*count, SELECTIONS);
        let busy: Vec<GroupCandidate> = idle
            .into_iter()
            .map(|mut candidate| {
                if candidate.group == *preferred {
                    candidate.load = Some(Ratio(0.9));
                }
                candidate
            })
            .collect();
        let busy_counts = counts(&busy, &prefix, seed);
        prop_assert_eq!(busy_counts.get(preferred), None);
    }
}

#[test]
fn load_estimate_is_corrected_by_own_requests_and_expires() {
    let loads = LoadEstimates::default();
    let now = Instant::now();
    let reported = SlotLoad {
        taken: SlotCount(4),
        limit: SlotCount(8),
    };
    assert_eq!(loads.load(&group(0), now), None);
    loads.record_load(&group(0), reported, now);
    assert_eq!(loads.load(&group(0), now), Some(Ratio(0.5)));
    loads.record_request_end(&group(0));
    loads.record_request_end(&group(0));
    assert_eq!(loads.load(&group(0), now), Some(Ratio(0.25)));
    assert_eq!(loads.load(&group(0), now + Duration::from_secs(10)), None);
}
