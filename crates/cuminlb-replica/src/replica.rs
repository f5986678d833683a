//! A node's copy of the platform's store.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cuminlb_catalog::{RowChangeSet, SharedRow, StoreTable};
use cuminlb_peer::{
    ChunkRequest, RelayedTable, RelayedUpdate, StoreContact, TableCursors, ValueChunk,
};
use cuminlb_types::prelude::*;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use crate::applied_rows::AppliedRows;
use crate::replica_state::ReplicaState;
use crate::{PendingValue, RowSink, RowSource};

/// Maximum length of the chunks of one response.
const MAX_RESPONSE_BYTES: ByteCount = ByteCount(65_536);

/// Age that is stated for a table that was never read, and of one of another era of the store.
pub(crate) const UNKNOWN_AGE_MS: Millis = Millis(u64::MAX);

/// A node's copy of the platform's store. New rows are passed to a [`RowSink`].
pub struct Replica {
    state: Mutex<ReplicaState>,
    sink: Arc<dyn RowSink>,
    /// The versions of the newest rows that peers can be given.
    newest: watch::Sender<TableCursors>,
    announced: Notify,
}

impl std::fmt::Debug for Replica {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Replica").finish_non_exhaustive()
    }
}

impl Replica {
    /// Creates an empty copy.
    pub fn new(sink: Arc<dyn RowSink>) -> Self {
        Self {
            state: Mutex::default(),
            sink,
            newest: watch::Sender::new(TableCursors::default()),
            announced: Notify::new(),
        }
    }

    /// Returns the versions up to which every change has arrived or been announced.
    pub fn cursors(&self) -> TableCursors {
        self.state().cursors()
    }

    /// Returns the version of a table up to which every change has arrived or been announced.
    pub fn version(&self, table: StoreTable) -> StoreVersion {
        self.cursors().get(table)
    }

    /// Returns a row as this node knows it.
    pub fn row(&self, table: StoreTable, key: &RowKey) -> Option<SharedRow> {
        self.state().mirror(table).row(key).cloned()
    }

    /// Returns the time since the store is known to have held no newer rows of a table.
    pub fn heard_age(&self, table: StoreTable, now: Instant) -> Option<Millis> {
        self.state().heard_age(table, now)
    }

    /// Returns whether the latest call to the store has failed for every table.
    pub fn is_store_lost(&self) -> bool {
        self.state().failed_tables.len() == StoreTable::ALL.len()
    }

    /// Returns whether the latest call to the store has failed for any table.
    pub fn has_failed_table(&self) -> bool {
        !self.state().failed_tables.is_empty()
    }

    /// Applies changes that were read from the store.
    pub fn apply_store_changes(&self, table: StoreTable, changes: RowChangeSet, now: Instant) {
        let mut state = self.state();
        state.failed_tables.remove(&table);
        let era = changes.version.era;
        let applied = state.apply(table, |mirror| mirror.apply(changes));
        state.record_heard(table, era, now);
        self.sink.store_called(table, true, now);
        self.publish(state, table, &applied, RowSource::Store, now);
    }

    /// Applies what a peer relayed, which it heard from the store at the times that it states.
    pub fn apply_update(&self, update: RelayedUpdate, from: &NodeId, now: Instant) {
        if update.contact == StoreContact::Lost {
            self.sink.peer_lost_store(now);
        }
        for relayed in update.tables {
            let table = relayed.table;
            let era = relayed.version.era;
            let heard_at = now.checked_sub(relayed.heard_ms.duration());
            let mut state = self.state();
            let applied = state.apply(table, |mirror| mirror.apply_relayed(relayed, from));
            if let Some(heard_at) = heard_at {
                state.record_heard(table, era, heard_at);
            }
            self.publish(state, table, &applied, RowSource::Peer, now);
        }
    }

    /// Applies a row whose value had only been announced.
    pub fn apply_row(&self, table: StoreTable, row: SharedRow, source: RowSource, now: Instant) {
        let mut state = self.state();
        let applied = state.apply(table, |mirror| mirror.apply_row(row));
        self.publish(state, table, &applied, source, now);
    }

    /// Records that a call to the store for a table has failed.
    pub fn record_store_failure(&self, table: StoreTable, now: Instant) {
        self.state().failed_tables.insert(table);
        self.sink.store_called(table, false, now);
    }

    /// Records that a peer is asked for rows that the store did not provide.
    pub fn record_peer_request(&self) {
        self.sink.peer_asked();
    }

    /// Returns the rows that changed after `cursors`, for a peer.
    pub fn update_since(
        &self,
        cursors: TableCursors,
        contact: StoreContact,
        now: Instant,
    ) -> RelayedUpdate {
        let mut state = self.state();
        let tables = StoreTable::ALL.map(|table| {
            let heard_ms = state.complete_age(table, now).unwrap_or(UNKNOWN_AGE_MS);
            let mirror = state.mirror(table);
            let (is_whole, rows) = mirror.relayed_since(cursors.get(table));
            RelayedTable {
                table,
                is_whole,
                rows,
                version: mirror.complete_version(),
                heard_ms,
            }
        });
        RelayedUpdate {
            tables: tables.into(),
            contact,
        }
    }

    /// Returns a receiver that is notified of the versions of the newest rows.
    pub fn newest(&self) -> watch::Receiver<TableCursors> {
        self.newest.subscribe()
    }

    /// Returns those of the requested chunks that this node has.
    pub fn read_chunks(&self, request: &ChunkRequest) -> Vec<ValueChunk> {
        let mut state = self.state();
        let mirror = state.mirror(request.table);
        mirror.chunks(&request.key, &request.chunks, MAX_RESPONSE_BYTES)
    }

    /// Waits until a large value was announced that has not arrived, and returns it.
    pub async fn next_pending(&self) -> PendingValue {
        loop {
            let announced = self.announced.notified();
            if let Some(pending) = self.first_pending() {
                return pending;
            }
            announced.await;
        }
    }

    /// Returns a large value that was announced and has not arrived.
    pub fn first_pending(&self) -> Option<PendingValue> {
        let mut state = self.state();
        let mut tables = StoreTable::ALL.into_iter();
        tables.find_map(|table| state.mirror(table).next_pending(table))
    }

    /// Passes new rows to the sink and notifies those who wait. The state stays locked until the
    /// sink has the rows, so that it gets them in the order in which they were applied.
    fn publish(
        &self,
        state: MutexGuard<'_, ReplicaState>,
        table: StoreTable,
        applied: &AppliedRows,
        source: RowSource,
        now: Instant,
    ) {
        let rows = applied.rows.as_slice();
        if applied.is_restored {
            self.sink.table_restored(table, rows, source, now);
        } else if !rows.is_empty() {
            self.sink.rows_changed(table, rows, source, now);
        }
        let newest = state.newest();
        self.newest.send_if_modified(|known| {
            let is_changed = *known != newest;
            *known = newest;
            is_changed
        });
        drop(state);
        self.announced.notify_one();
    }

    fn state(&self) -> MutexGuard<'_, ReplicaState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
