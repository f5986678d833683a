//! The chunks of the large values of one table.

use std::collections::BTreeMap;

use cuminlb_catalog::SharedRow;
use cuminlb_peer::{ChunkId, RelayedValue, ValueChunk};
use cuminlb_types::prelude::*;

use crate::ChunkIndex;
use crate::indexed_value::IndexedValue;

/// Length from which on a value is relayed as a list of chunks.
const LARGE_VALUE_BYTES: usize = 16_384;

/// The chunks of large values, computed when they are first needed.
#[derive(Clone, Debug, Default)]
pub(crate) struct ValueIndexes {
    indexes: BTreeMap<RowKey, IndexedValue>,
}

impl ValueIndexes {
    /// Returns the chunks of a row's value, which are computed once for each version.
    pub(crate) fn index(&mut self, row: &SharedRow, value: &[u8]) -> &ChunkIndex {
        let compute = || IndexedValue {
            version: row.version,
            index: ChunkIndex::new(value),
        };
        let indexed = self.indexes.entry(row.key.clone()).or_insert_with(compute);
        if indexed.version != row.version {
            *indexed = compute();
        }
        &indexed.index
    }

    /// Returns those of the requested chunks that the value of a row has, up to a total length.
    pub(crate) fn chunks(
        &mut self,
        row: &SharedRow,
        ids: &[ChunkId],
        max_bytes: ByteCount,
    ) -> Vec<ValueChunk> {
        let Some(value) = row.value.as_deref() else {
            return Vec::new();
        };
        let index = self.index(row, value);
        let mut chunks = Vec::new();
        let mut length = 0;
        for &id in ids {
            let Some(range) = index.find(id) else {
                continue;
            };
            length += range.len() as u64;
            if !chunks.is_empty() && length > max_bytes.get() {
                break;
            }
            let bytes = value[range].to_vec();
            chunks.push(ValueChunk { id, bytes });
        }
        chunks
    }

    /// Returns the value of a row in the form in which peers get it.
    pub(crate) fn relayed_value(&mut self, row: &SharedRow) -> RelayedValue {
        match row.value.as_deref() {
            None => RelayedValue::Removed,
            Some(value) if value.len() < LARGE_VALUE_BYTES => RelayedValue::Whole(value.to_vec()),
            Some(value) => RelayedValue::Chunked(self.index(row, value).list().clone()),
        }
    }
}
