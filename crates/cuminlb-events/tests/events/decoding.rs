//! Decoding of untrusted input succeeds or returns an error, and never panics.

use cuminlb_events::{Event, EventFilter, NodeReport};
use proptest::prelude::*;

use crate::strategies::{config, event};

proptest! {
    #![proptest_config(config())]

    #[test]
    fn events_round_trip_through_json(event in event()) {
        let line = serde_json::to_string(&event).unwrap();
        prop_assert!(!line.contains('\n'));
        prop_assert_eq!(serde_json::from_str::<Event>(&line).unwrap(), event);
    }

    #[test]
    fn events_print_on_one_line(event in event()) {
        prop_assert!(!event.to_string().contains('\n'));
    }

    #[test]
    fn arbitrary_bytes_decode_or_fail_without_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..300),
    ) {
        let _ = serde_json::from_slice::<Event>(&bytes);
        let _ = serde_json::from_slice::<EventFilter>(&bytes);
        let _ = serde_json::from_slice::<NodeReport>(&bytes);
    }

    #[test]
    fn corrupted_events_decode_or_fail_without_panic(
        event in event(),
        position in any::<prop::sample::Index>(),
        byte in any::<u8>(),
        cut_position in any::<prop::sample::Index>(),
    ) {
        let mut line = serde_json::to_vec(&event).unwrap();
        let index = position.index(line.len());
        line[index] = byte;
        let _ = serde_json::from_slice::<Event>(&line).map(|event| event.to_string());
        let cut = cut_position.index(line.len());
        prop_assert!(serde_json::from_slice::<Event>(&line[..cut]).is_err());
    }
}
