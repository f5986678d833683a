//! Properties of the event decoder: events do not depend on how the bytes of a stream are split
//! into reads, and no byte is lost, added or moved.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

use cuminlb_upstream::{EventDecoder, StreamError, StreamEvent};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, RngSeed};

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(0x5eed_0001),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Decodes a stream that arrives as `reads`, up to the first error.
fn decode(reads: &[&[u8]]) -> (Vec<StreamEvent>, Option<StreamError>) {
    let mut decoder = EventDecoder::default();
    let mut events = Vec::new();
    for read in reads {
        decoder.push(read);
        loop {
            match decoder.next_event() {
                Ok(Some(event)) => events.push(event),
                Ok(None) => break,
                Err(error) => return (events, Some(error)),
            }
        }
    }
    (events, None)
}

/// Splits bytes at the positions that `cuts` selects.
fn split_at_cuts<'a>(bytes: &'a [u8], cuts: &[prop::sample::Index]) -> Vec<&'a [u8]> {
    let mut positions: Vec<usize> = cuts.iter().map(|cut| cut.index(bytes.len() + 1)).collect();
    positions.extend([0, bytes.len()]);
    positions.sort_unstable();
    positions
        .windows(2)
        .map(|pair| &bytes[pair[0]..pair[1]])
        .collect()
}

/// Generates bytes in which the syntax elements of events are frequent.
fn stream_bytes() -> impl Strategy<Value = Vec<u8>> {
    let element = prop_oneof![
        Just(b"data: ".to_vec()),
        Just(b"data:[DONE]".to_vec()),
        Just(b": comment".to_vec()),
        Just(b"\n".to_vec()),
        Just(b"\n\n".to_vec()),
        Just(b"\r".to_vec()),
        Just(b"\r\n".to_vec()),
        Just(b"\r\n\r\n".to_vec()),
        prop::collection::vec(any::<u8>(), 0..8),
    ];
    prop::collection::vec(element, 0..40).prop_map(|elements| elements.concat())
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn events_do_not_depend_on_how_the_stream_is_split(
        bytes in stream_bytes(),
        cuts in prop::collection::vec(any::<prop::sample::Index>(), 0..20),
    ) {
        let unsplit = decode(&[&bytes]);
        prop_assert_eq!(&unsplit, &decode(&split_at_cuts(&bytes, &cuts)));
        let single_bytes: Vec<&[u8]> = bytes.chunks(1).collect();
        prop_assert_eq!(&unsplit, &decode(&single_bytes));
    }

    #[test]
    fn raw_events_are_a_prefix_of_the_received_bytes(bytes in stream_bytes()) {
        let (events, _) = decode(&[&bytes]);
        let mut raw = Vec::new();
        for event in events {
            match event {
                StreamEvent::Chunk { raw: bytes, .. }
                | StreamEvent::Done { raw: bytes } => raw.extend_from_slice(&bytes),
            }
        }
        prop_assert!(bytes.starts_with(&raw), "no byte is lost, added or moved");
    }
}

#[test]
fn too_long_event_is_rejected_however_it_is_split() {
    let mut long = vec![b'x'; (1 << 20) + 1];
    long.extend_from_slice(b"\n\n");
    let unsplit = decode(&[&long]);
    let reads: Vec<&[u8]> = long.chunks(4_096).collect();
    assert_eq!(unsplit, decode(&reads));
    assert!(matches!(unsplit.1, Some(StreamError::EventTooLong { .. })));
}

#[test]
fn only_the_start_of_an_event_with_content_counts_as_begun() {
    let has_begun = |text: &[u8]| {
        let mut decoder = EventDecoder::default();
        decoder.push(text);
        assert_eq!(decoder.next_event(), Ok(None));
        decoder.has_begun_event()
    };
    for begun in [
        "id: 3\nda",
        "id:",
        "data: p",
        "event: x\ndata: p\n",
        "data: [DONE]!",
    ] {
        assert!(has_begun(begun.as_bytes()), "{begun:?}");
    }
    for open in [
        "",
        "i",
        "id",
        ": comment\n",
        "data: ",
        "data: [DO",
        "data: [DONE]\n",
        "event: x\n",
    ] {
        assert!(!has_begun(open.as_bytes()), "{open:?}");
    }
}
