//! Slot denials are gathered, and none is lost.

use cuminlb_events::{DenialCause, DenialTally, EventKind};
use cuminlb_types::prelude::*;
use proptest::prelude::*;

use crate::strategies::{config, id};

fn count(event: &EventKind) -> u64 {
    match event {
        EventKind::SlotsDenied { count, .. } => *count,
        other => panic!("not a denial: {other:?}"),
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn the_events_add_up_to_the_denials(
        denials in prop::collection::vec((0..3_u8, any::<bool>(), 0..400_u64), 0..300),
    ) {
        let tally = DenialTally::default();
        let mut now_ms = 0;
        let mut events = Vec::new();
        for (group, full, after_ms) in &denials {
            now_ms += after_ms;
            let cause = if *full { DenialCause::Full } else { DenialCause::NotServing };
            let group: GroupId = id(&format!("group-{group}"));
            let service: ServiceId = id("oar-assist");
            events.extend(tally.note(&service, &group, cause, UnixMillis(now_ms)));
        }
        // The first of each of 6 kinds, and then at most one a second each.
        let most = 6 * (1 + now_ms as usize / 1_000 + 1);
        prop_assert!(events.len() <= most, "{} events", events.len());
        events.extend(tally.drain(UnixMillis(now_ms)));
        let total: u64 = events.iter().map(count).sum();
        prop_assert_eq!(total, denials.len() as u64);
        prop_assert!(tally.drain(UnixMillis(now_ms)).is_empty());
    }
}

#[test]
fn the_first_denial_is_told_at_once() {
    let tally = DenialTally::default();
    let (service, group) = (id::<ServiceId>("boat-desk"), id::<GroupId>("g1"));
    let first = tally.note(&service, &group, DenialCause::Full, UnixMillis(5));
    assert_eq!(count(&first.unwrap()), 1);
    let second = tally.note(&service, &group, DenialCause::Full, UnixMillis(6));
    assert_eq!(second, None);
}
