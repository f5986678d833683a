//! The server side of the calls between nodes.

use std::sync::Arc;

use cuminlb_catalog::StoreTable;
use cuminlb_peer::{RelayHandler, RelayedRows, SuspicionNotice};
use cuminlb_types::prelude::*;
use tokio::time::{Instant, timeout};

use crate::gateway::Gateway;

/// Responds to the calls of the other nodes.
#[derive(Clone, Debug)]
pub(crate) struct RelayService {
    gateway: Arc<Gateway>,
}

impl RelayService {
    pub(crate) const fn new(gateway: Arc<Gateway>) -> Self {
        Self { gateway }
    }
}

impl RelayHandler for RelayService {
    fn rows_since(&self, table: StoreTable, after: RowVersion) -> RelayedRows {
        let knowledge = &self.gateway.knowledge;
        let age_ms = knowledge.store_read_age(table, Instant::now());
        RelayedRows {
            changes: knowledge.changes_since(table, after),
            heard_ms: age_ms.unwrap_or(Millis(u64::MAX)),
            is_store_lost: knowledge.is_store_lost(),
        }
    }

    async fn await_rows(
        &self,
        table: StoreTable,
        after: RowVersion,
        wait_ms: Millis,
    ) -> RelayedRows {
        let knowledge = &self.gateway.knowledge;
        let mut updates = knowledge.table_updates(table);
        let has_update = updates.wait_for(|newest| *newest > after);
        // After a timeout, the response reports that there are no changes, and how old that
        // information is.
        let _ = timeout(wait_ms.duration(), has_update).await;
        self.rows_since(table, after)
    }

    fn suspect(&self, notice: SuspicionNotice) {
        self.gateway.suspicions.add(notice);
    }
}
