//! Reads and writes objects of the platform's object store over HTTP.

use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;
use cuminlb_types::prelude::*;
use http::{Method, StatusCode};

use super::HttpClient;
use crate::{ObjectStore, PlatformError};

/// [`ObjectStore`] over HTTP: `GET` and `PUT` on `/objects/KEY`.
#[derive(Clone, Debug)]
pub struct HttpObjectStore {
    client: HttpClient,
}

impl HttpObjectStore {
    /// Creates a client for the service at `address`, with a limit of `timeout_ms` per call.
    pub fn new(address: SocketAddr, timeout_ms: Millis) -> Self {
        Self {
            client: HttpClient::new(address, timeout_ms),
        }
    }
}

#[async_trait]
impl ObjectStore for HttpObjectStore {
    async fn get(&self, key: &ObjectKey) -> Result<Option<Bytes>, PlatformError> {
        let path = format!("/objects/{key}");
        let (status, body) = self.client.call(Method::GET, &path, Bytes::new()).await?;
        match status {
            StatusCode::OK => Ok(Some(body)),
            StatusCode::NOT_FOUND => Ok(None),
            other => Err(PlatformError::Refused {
                status: other.as_u16(),
            }),
        }
    }

    async fn put(&self, key: &ObjectKey, body: Bytes) -> Result<(), PlatformError> {
        let path = format!("/objects/{key}");
        let (status, _) = self.client.call(Method::PUT, &path, body).await?;
        if status.is_success() {
            Ok(())
        } else {
            Err(PlatformError::Refused {
                status: status.as_u16(),
            })
        }
    }
}
