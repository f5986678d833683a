//! An instance whose drain a node has acknowledged gets nothing until it starts again, whatever the
//! store loses.

use std::time::Duration;

use cuminlb_catalog::InstanceEntry;
use cuminlb_replica::InstanceRecords;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use tokio::time::Instant;

use crate::support::{draining, entry, instance_id, is_used};

/// The seed of the random events.
const SEED: u64 = 0x0d4a_1ed5;

/// The longest time of a case, shorter than that for which instances are known to have left.
const MAX_EVENTS: usize = 100;
const MAX_PASS_MS: u64 = 500;

/// What happens to an instance and to the store.
#[derive(Clone, Debug)]
enum Event {
    /// The instance writes its next entry.
    Write,
    /// Its entry is removed.
    Remove,
    /// The store is restored from a copy with an earlier entry, or without any.
    Restore(Option<usize>),
    /// The store fails, so that entries may vanish for no other reason.
    Fail,
    /// Time passes.
    Pass(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => Just(Event::Write),
        2 => Just(Event::Remove),
        3 => proptest::option::weighted(0.8, any::<usize>()).prop_map(Event::Restore),
        1 => Just(Event::Fail),
        4 => (1..MAX_PASS_MS).prop_map(Event::Pass),
    ]
}

/// Returns the entries that an instance writes: in each incarnation it is ready and then drains.
fn entries() -> Vec<InstanceEntry> {
    let starts = 1..=MAX_EVENTS as u64;
    let of_start = |start| {
        [
            entry("a", start, 1),
            entry("a", start, 2),
            draining("a", start, 3),
        ]
    };
    starts.flat_map(of_start).collect()
}

#[test]
fn a_drained_instance_gets_nothing_until_it_starts_again_whatever_the_store_loses() {
    let config = Config {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    };
    let entries = entries();
    TestRunner::new(config)
        .run(&vec(event(), 1..MAX_EVENTS), |events| {
            let mut now = Instant::now();
            let mut records = InstanceRecords::default();
            let mut written = 0;
            for event in events {
                match event {
                    Event::Write => {
                        records.put(entries[written].clone(), now);
                        written += 1;
                    }
                    Event::Remove => records.remove(&instance_id("a"), now),
                    Event::Restore(Some(copied)) if written > 0 => {
                        records.record_restoration(now);
                        records.restore(entries[copied % written].clone(), now);
                    }
                    Event::Restore(_) => records.restore_absence(&instance_id("a"), now),
                    Event::Fail => records.record_store_failure(now),
                    Event::Pass(ms) => {
                        now += Duration::from_millis(ms);
                        records.remove_expired(now);
                    }
                }
                let has_drained = written > 0 && entries[written - 1].is_leaving;
                prop_assert!(!has_drained || !is_used(&records, "a"));
            }
            Ok(())
        })
        .unwrap();
}
