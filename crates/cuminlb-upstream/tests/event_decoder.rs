//! Properties of the event decoder.
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

/// Decodes bytes that come in pieces, up to the first error.
fn decode(pieces: &[&[u8]]) -> (Vec<StreamEvent>, Option<StreamError>) {
    let mut decoder = EventDecoder::default();
    let mut events = Vec::new();
    for piece in pieces {
        decoder.push(piece);
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

fn cut<'a>(bytes: &'a [u8], cuts: &[prop::sample::Index]) -> Vec<&'a [u8]> {
    let mut at: Vec<usize> = cuts.iter().map(|cut| cut.index(bytes.len() + 1)).collect();
    at.extend([0, bytes.len()]);
    at.sort_unstable();
    at.windows(2).map(|pair| &bytes[pair[0]..pair[1]]).collect()
}

/// Bytes in which the parts of events are frequent.
fn stream_bytes() -> impl Strategy<Value = Vec<u8>> {
    let part = prop_oneof![
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
    prop::collection::vec(part, 0..40).prop_map(|parts| parts.concat())
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn any_split_gives_the_same_events(
        bytes in stream_bytes(),
        cuts in prop::collection::vec(any::<prop::sample::Index>(), 0..20),
    ) {
        let whole = decode(&[&bytes]);
        prop_assert_eq!(&whole, &decode(&cut(&bytes, &cuts)));
        let single: Vec<&[u8]> = bytes.chunks(1).collect();
        prop_assert_eq!(&whole, &decode(&single));
    }

    #[test]
    fn events_are_passed_on_byte_by_byte(bytes in stream_bytes()) {
        let (events, _) = decode(&[&bytes]);
        let mut raw = Vec::new();
        for event in events {
            match event {
                StreamEvent::Chunk { raw: part, .. } | StreamEvent::Done { raw: part } => raw.extend_from_slice(&part),
            }
        }
        prop_assert!(bytes.starts_with(&raw), "no byte is lost, added or moved");
    }
}

#[test]
fn long_event_is_refused_in_any_split() {
    let mut long = vec![b'x'; (1 << 20) + 1];
    long.extend_from_slice(b"\n\n");
    let whole = decode(&[&long]);
    let pieces: Vec<&[u8]> = long.chunks(4_096).collect();
    assert_eq!(whole, decode(&pieces));
    assert!(matches!(whole.1, Some(StreamError::EventTooLong { .. })));
}
