//! Events that come from outside are read or refused, and never panic.

use cuminlb_events::{Event, EventFilter, NodeReport};
use proptest::prelude::*;

use crate::strategies::{config, event};

proptest! {
    #![proptest_config(config())]

    #[test]
    fn every_event_survives_json(event in event()) {
        let line = serde_json::to_string(&event).unwrap();
        prop_assert!(!line.contains('\n'));
        prop_assert_eq!(serde_json::from_str::<Event>(&line).unwrap(), event);
    }

    #[test]
    fn every_event_prints_on_one_line(event in event()) {
        prop_assert!(!event.to_string().contains('\n'));
    }

    #[test]
    fn any_bytes_are_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = serde_json::from_slice::<Event>(&bytes);
        let _ = serde_json::from_slice::<EventFilter>(&bytes);
        let _ = serde_json::from_slice::<NodeReport>(&bytes);
    }

    #[test]
    fn damaged_events_are_read_or_refused(
        event in event(),
        place in any::<prop::sample::Index>(),
        byte in any::<u8>(),
        cut in any::<prop::sample::Index>(),
    ) {
        let mut line = serde_json::to_vec(&event).unwrap();
        let index = place.index(line.len());
        line[index] = byte;
        let _ = serde_json::from_slice::<Event>(&line).map(|event| event.to_string());
        let cut = cut.index(line.len());
        prop_assert!(serde_json::from_slice::<Event>(&line[..cut]).is_err());
    }
}
