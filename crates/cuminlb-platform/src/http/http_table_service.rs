//! Sends queries and transactions to the platform's table service over HTTP.

use std::net::SocketAddr;

use async_trait::async_trait;
use cuminlb_types::prelude::*;
use http::Method;

use super::HttpClient;
use crate::{CommitOutcome, PlatformError, RowQuery, RowResponse, TableService, Transaction};

/// [`TableService`] over HTTP: `POST` of JSON to `/table/read` and `/table/commit`.
#[derive(Clone, Debug)]
pub struct HttpTableService {
    client: HttpClient,
}

impl HttpTableService {
    /// Creates a client for the service at `address`, with a limit of `timeout_ms` per call.
    pub fn new(address: SocketAddr, timeout_ms: Millis) -> Self {
        Self {
            client: HttpClient::new(address, timeout_ms),
        }
    }
}

#[async_trait]
impl TableService for HttpTableService {
    async fn read(&self, queries: &[RowQuery]) -> Result<Vec<RowResponse>, PlatformError> {
        self.client
            .call_json(Method::POST, "/table/read", queries)
            .await
    }

    async fn commit(&self, transaction: &Transaction) -> Result<CommitOutcome, PlatformError> {
        self.client
            .call_json(Method::POST, "/table/commit", transaction)
            .await
    }
}
