//! Slot denials are aggregated, and none is lost.

use cuminlb_events::{DenialAggregator, DenialCause, EventKind};
use cuminlb_types::prelude::*;
use proptest::prelude::*;

use crate::strategies::{config, id};

fn count(event: &EventKind) -> u64 {
    match event {
        EventKind::SlotsDenied { count, .. } => *count,
        other => panic!("not a denial event: {other:?}"),
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn event_counts_add_up_to_the_denials(
        denials in prop::collection::vec((0..3_u8, any::<bool>(), 0..400_u64), 0..300),
    ) {
        let aggregator = DenialAggregator::default();
        let mut now_ms = 0;
        let mut events = Vec::new();
        for (group, is_full, elapsed_ms) in &denials {
            now_ms += elapsed_ms;
            let cause = if *is_full { DenialCause::Full } else { DenialCause::NotServing };
            let group: GroupId = id(&format!("group-{group}"));
            let service: ServiceId = id("oar-assist");
            events.extend(aggregator.record(&service, &group, cause, UnixMillis(now_ms)));
        }
        // For each of the 6 pairs of group and cause: the first denial, and then at most one event
        // a second.
        let max_events = 6 * (1 + now_ms as usize / 1_000 + 1);
        prop_assert!(events.len() <= max_events, "{} events", events.len());
        events.extend(aggregator.drain(UnixMillis(now_ms)));
        let total: u64 = events.iter().map(count).sum();
        prop_assert_eq!(total, denials.len() as u64);
        prop_assert!(aggregator.drain(UnixMillis(now_ms)).is_empty());
    }
}

#[test]
fn first_denial_is_reported_immediately() {
    let aggregator = DenialAggregator::default();
    let (service, group) = (id::<ServiceId>("boat-desk"), id::<GroupId>("g1"));
    let first = aggregator.record(&service, &group, DenialCause::Full, UnixMillis(5));
    assert_eq!(count(&first.unwrap()), 1);
    let second = aggregator.record(&service, &group, DenialCause::Full, UnixMillis(6));
    assert_eq!(second, None);
}
