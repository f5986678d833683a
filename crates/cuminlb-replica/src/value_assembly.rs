//! The reconstruction of a large value from its chunks.

use std::collections::{HashMap, HashSet};

use cuminlb_peer::{ChunkId, ChunkList, ValueChunk};
use cuminlb_types::prelude::*;

use crate::ChunkIndex;

/// A large value of which some chunks have arrived.
#[derive(Clone, Debug)]
pub struct ValueAssembly {
    list: ChunkList,
    parts: HashMap<ChunkId, Vec<u8>>,
}

impl ValueAssembly {
    /// Starts with the chunks that an earlier version of the value has in common with this one.
    pub fn new(list: ChunkList, known: Option<&[u8]>) -> Self {
        let wanted: HashSet<ChunkId> = list.chunks.iter().map(|chunk| chunk.id).collect();
        let known = known.unwrap_or_default();
        let index = ChunkIndex::new(known);
        let shared = index.iter().filter(|(id, _)| wanted.contains(id));
        let parts = shared
            .map(|(id, range)| (id, known[range].to_vec()))
            .collect();
        Self { list, parts }
    }

    /// Takes over the chunks that have arrived for another version of the value.
    pub fn adopt(&mut self, other: Self) {
        for (id, bytes) in other.parts {
            self.add(ValueChunk { id, bytes });
        }
    }

    /// Returns the description of the value.
    pub const fn list(&self) -> &ChunkList {
        &self.list
    }

    /// Returns the first missing chunks, up to `max_bytes` in total but at least one.
    pub fn missing(&self, max_bytes: ByteCount) -> Vec<ChunkId> {
        let mut chunks = Vec::new();
        let mut length = 0;
        for chunk in &self.list.chunks {
            if self.parts.contains_key(&chunk.id) || chunks.contains(&chunk.id) {
                continue;
            }
            length += chunk.length_bytes.get();
            if !chunks.is_empty() && length > max_bytes.get() {
                break;
            }
            chunks.push(chunk.id);
        }
        chunks
    }

    /// Returns the total length of the missing chunks.
    pub fn missing_bytes(&self) -> ByteCount {
        let chunks = self.list.chunks.iter();
        let missing = chunks.filter(|chunk| !self.parts.contains_key(&chunk.id));
        ByteCount(missing.map(|chunk| chunk.length_bytes.get()).sum())
    }

    /// Adds a chunk; returns whether it was missing and its content is that of its id.
    pub fn add(&mut self, chunk: ValueChunk) -> bool {
        let is_wanted = self.list.chunks.iter().any(|it| it.id == chunk.id);
        if !is_wanted || ChunkId::of(&chunk.bytes) != chunk.id {
            return false;
        }
        self.parts.insert(chunk.id, chunk.bytes).is_none()
    }

    /// Returns the value; `None` while chunks are missing, or if the whole does not have the stated
    /// digest.
    pub fn value(&self) -> Option<Vec<u8>> {
        if self.missing_bytes() > ByteCount(0) {
            return None;
        }
        let mut value = Vec::new();
        for chunk in &self.list.chunks {
            value.extend_from_slice(self.parts.get(&chunk.id)?);
        }
        (ChunkId::of(&value) == self.list.digest).then_some(value)
    }
}
