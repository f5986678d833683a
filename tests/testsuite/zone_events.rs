//! Property test: the recorded zone events replay to the current state of every zone.

use std::collections::BTreeMap;
use std::fmt::Write;

use cuminlb::observing::record_zone_changes;
use cuminlb_config::FleetSpec;
use cuminlb_events::{EventFilter, EventKind, EventLog};
use cuminlb_types::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SEED: u64 = 20_261_204;

/// The zones of a fleet file by number; the value is `false` for a zone that is out.
type Zones = BTreeMap<u8, bool>;

fn fleet(zones: &Zones) -> FleetSpec {
    let mut text = String::new();
    for (zone, is_in) in zones {
        let state = if *is_in { "in" } else { "out" };
        let _ = writeln!(
            text,
            "[[zone]]\nid = \"z{zone}\"\nregion = \"r\"\nstate = \"{state}\""
        );
    }
    FleetSpec::parse("fleet", &text).unwrap()
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    })]

    #[test]
    fn zone_events_replay_to_the_state_of_every_zone(
        files in prop::collection::vec(
            prop::collection::btree_map(0..5_u8, any::<bool>(), 1..5),
            1..8,
        ),
    ) {
        let events = EventLog::new("n1".parse().unwrap(), "z0".parse().unwrap(), 1_000);
        let mut before: Option<FleetSpec> = None;
        for (number, zones) in files.iter().enumerate() {
            let after = fleet(zones);
            let version = ConfigVersion(number as u64 + 1);
            record_zone_changes(&events, before.as_ref(), &after, version);
            before = Some(after);
        }
        let mut recorded: BTreeMap<ZoneId, bool> = BTreeMap::new();
        for event in events.select(&EventFilter::default(), 1_000) {
            let (zone, is_in) = match event.kind {
                EventKind::ZoneTakenOut { target, .. } => (target, false),
                EventKind::ZoneTakenIn { target, .. } => (target, true),
                other => panic!("{other}"),
            };
            // The first event of a zone is taken as a change of its state.
            let was_in = recorded.insert(zone.clone(), is_in).unwrap_or(!is_in);
            prop_assert_ne!(was_in, is_in, "{} has two events with the same state", zone);
        }
        let last = before.unwrap();
        for zone in 0..5_u8 {
            let zone: ZoneId = format!("z{zone}").parse().unwrap();
            let is_named = files
                .iter()
                .any(|file| file.keys().any(|key| format!("z{key}") == zone.as_str()));
            let is_recorded_in = recorded
                .get(&zone)
                .copied()
                .unwrap_or(is_named && last.zone_is_in(&zone));
            prop_assert_eq!(is_recorded_in, last.zone_is_in(&zone), "{}", zone);
        }
    }
}
