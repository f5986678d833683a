//! [`RelayService`].

use std::sync::Arc;

use cuminlb_catalog::StoreTable;
use cuminlb_peer::{RelayHandler, RelayedRows, SuspicionNotice};
use cuminlb_types::prelude::*;
use tokio::time::{Instant, timeout};

use crate::gateway::Gateway;

/// Answers the calls of the other nodes.
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
        let heard_ms = knowledge.store_silence(table, Instant::now());
        RelayedRows {
            changes: knowledge.since(table, after),
            heard_ms: heard_ms.unwrap_or(Millis(u64::MAX)),
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
        let mut news = knowledge.table_news(table);
        let has_news = news.wait_for(|newest| *newest > after);
        // Without news the answer says that there are none, and how old that is.
        let _ = timeout(wait_ms.duration(), has_news).await;
        self.rows_since(table, after)
    }

    fn suspect(&self, notice: SuspicionNotice) {
        self.gateway.suspicions.add(notice);
    }
}
