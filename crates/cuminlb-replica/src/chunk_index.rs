//! The division of a large value into chunks.

use std::ops::Range;

use cuminlb_peer::{ChunkId, ChunkList, ChunkRef};
use cuminlb_types::prelude::*;

/// Minimum length of a chunk.
const MIN_CHUNK_BYTES: usize = 1_024;

/// Maximum length of a chunk.
const MAX_CHUNK_BYTES: usize = 16_384;

/// The bits of the rolling hash that are zero at the end of a chunk. With 12 bits, a chunk is about
/// 4 KiB longer than the minimum.
const BOUNDARY_MASK: u64 = 0xfff0_0000_0000_0000;

/// A pseudo-random number for each byte value, for the rolling hash.
const GEAR: [u64; 256] = gear_table();

/// The chunks of a value and their positions.
///
/// The content decides where a chunk ends. A change in one place therefore leaves the chunks before
/// and after it as they are, even if it changes the length.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChunkIndex {
    list: ChunkList,
    ranges: Vec<Range<usize>>,
}

impl ChunkIndex {
    /// Divides a value into chunks.
    pub fn new(value: &[u8]) -> Self {
        let mut chunks = Vec::new();
        let mut ranges = Vec::new();
        let mut start = 0;
        while start < value.len() {
            let end = start + chunk_length(&value[start..]);
            chunks.push(ChunkRef {
                id: ChunkId::of(&value[start..end]),
                length_bytes: ByteCount((end - start) as u64),
            });
            ranges.push(start..end);
            start = end;
        }
        let digest = ChunkId::of(value);
        Self {
            list: ChunkList { digest, chunks },
            ranges,
        }
    }

    /// Returns the description of the value that is sent to peers.
    pub const fn list(&self) -> &ChunkList {
        &self.list
    }

    /// Returns the position of a chunk.
    pub fn find(&self, id: ChunkId) -> Option<Range<usize>> {
        let position = self.list.chunks.iter().position(|chunk| chunk.id == id)?;
        self.ranges.get(position).cloned()
    }

    /// Returns the chunks with their positions.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (ChunkId, Range<usize>)> {
        let ids = self.list.chunks.iter().map(|chunk| chunk.id);
        ids.zip(self.ranges.iter().cloned())
    }
}

/// Returns the length of the first chunk of `bytes`.
fn chunk_length(bytes: &[u8]) -> usize {
    let limit = bytes.len().min(MAX_CHUNK_BYTES);
    let mut hash = 0_u64;
    for (position, &byte) in bytes[..limit].iter().enumerate() {
        hash = (hash << 1).wrapping_add(GEAR[usize::from(byte)]);
        if position >= MIN_CHUNK_BYTES && hash & BOUNDARY_MASK == 0 {
            return position + 1;
        }
    }
    limit
}

/// Fills the table with the SplitMix64 generator.
const fn gear_table() -> [u64; 256] {
    let mut table = [0; 256];
    let mut state = 0_u64;
    let mut index = 0;
    while index < table.len() {
        state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        table[index] = mixed ^ (mixed >> 31);
        index += 1;
    }
    table
}
