//! [`HttpTable`].

use std::net::SocketAddr;

use async_trait::async_trait;
use cuminlb_types::prelude::*;
use http::Method;

use super::HttpCaller;
use crate::{CommitOutcome, PlatformError, RowAnswer, RowQuery, TableService, Transaction};

/// The table service over HTTP.
#[derive(Clone, Debug)]
pub struct HttpTable {
    caller: HttpCaller,
}

impl HttpTable {
    /// Prepares calls to the service at an address.
    pub fn new(address: SocketAddr, timeout_ms: Millis) -> Self {
        Self {
            caller: HttpCaller::new(address, timeout_ms),
        }
    }
}

#[async_trait]
impl TableService for HttpTable {
    async fn read(&self, queries: &[RowQuery]) -> Result<Vec<RowAnswer>, PlatformError> {
        self.caller
            .call_json(Method::POST, "/table/read", queries)
            .await
    }

    async fn commit(&self, transaction: &Transaction) -> Result<CommitOutcome, PlatformError> {
        self.caller
            .call_json(Method::POST, "/table/commit", transaction)
            .await
    }
}
