//! Large values are divided by their content and put together again.

use cuminlb_peer::{ChunkId, ValueChunk};
use cuminlb_replica::{ChunkIndex, ValueAssembly};
use cuminlb_types::prelude::*;
use proptest::prelude::*;

/// Returns pseudo-random bytes.
fn bytes(seed: u64, length: usize) -> Vec<u8> {
    let mut state = seed | 1;
    let next = || {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        state as u8
    };
    std::iter::repeat_with(next).take(length).collect()
}

/// Transfers a value to a node that knows another one; returns the value and the bytes sent.
fn transfer(value: &[u8], known: Option<&[u8]>) -> (Vec<u8>, usize) {
    let index = ChunkIndex::new(value);
    let mut assembly = ValueAssembly::new(index.list().clone(), known);
    let mut sent = 0;
    loop {
        let missing = assembly.missing(ByteCount(32_768));
        if missing.is_empty() {
            return (assembly.value().unwrap(), sent);
        }
        for id in missing {
            let bytes = value[index.find(id).unwrap()].to_vec();
            sent += bytes.len();
            assert!(assembly.add(ValueChunk { id, bytes }));
        }
    }
}

#[test]
fn a_change_in_the_middle_is_sent_in_a_few_chunks() {
    let old = bytes(7, 400_000);
    let mut new = old.clone();
    new.splice(100_000..100_001, bytes(9, 500));
    let (value, sent) = transfer(&new, Some(&old));
    assert_eq!(value, new);
    assert!(sent < 40_000, "{sent}");
}

#[test]
fn a_chunk_with_other_content_is_not_taken() {
    let value = bytes(3, 50_000);
    let index = ChunkIndex::new(&value);
    let mut assembly = ValueAssembly::new(index.list().clone(), None);
    let id = assembly.missing(ByteCount(1))[0];
    let bytes = vec![0; 10];
    assert!(!assembly.add(ValueChunk { id, bytes }));
    assert!(!assembly.add(ValueChunk {
        id: ChunkId::of(b"other"),
        bytes: b"other".to_vec()
    }));
    assert_eq!(assembly.missing_bytes(), ByteCount(50_000));
    assert_eq!(assembly.value(), None);
}

#[test]
fn chunks_of_a_superseded_version_are_kept() {
    let old = bytes(3, 200_000);
    let mut new = old.clone();
    new.extend_from_slice(b"more");
    let old_index = ChunkIndex::new(&old);
    let mut first = ValueAssembly::new(old_index.list().clone(), None);
    for chunk in old_index.list().chunks.clone() {
        let bytes = old[old_index.find(chunk.id).unwrap()].to_vec();
        first.add(ValueChunk {
            id: chunk.id,
            bytes,
        });
    }
    let mut second = ValueAssembly::new(ChunkIndex::new(&new).list().clone(), None);
    second.adopt(first);
    assert!(second.missing_bytes() < ByteCount(20_000));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(64) })]

    #[test]
    fn any_value_arrives_whole_whatever_was_known(
        seed in any::<u64>(),
        length in 0_usize..120_000,
        cut in 0.0..1.0_f64,
        is_known in any::<bool>(),
    ) {
        let value = bytes(seed, length);
        let mut known = value.clone();
        known.truncate((length as f64 * cut) as usize);
        known.extend_from_slice(&bytes(seed ^ 1, 3_000));
        let known = is_known.then_some(known.as_slice());
        let (arrived, _) = transfer(&value, known);
        prop_assert_eq!(arrived, value);
    }
}
