//! Fetches the platform's instance list over HTTP, conditionally on its revision.

use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;
use cuminlb_types::prelude::*;
use http::{Method, StatusCode};
use smol_str::ToSmolStr;

use super::HttpClient;
use crate::{InstanceList, InstanceListing, ListRevision, PlatformError};

/// [`InstanceList`] over HTTP: `GET /instances`, which responds 304 if the revision is known.
#[derive(Clone, Debug)]
pub struct HttpInstanceList {
    client: HttpClient,
}

impl HttpInstanceList {
    /// Creates a client for the service at `address`, with a limit of `timeout_ms` per call.
    pub fn new(address: SocketAddr, timeout_ms: Millis) -> Self {
        Self {
            client: HttpClient::new(address, timeout_ms),
        }
    }
}

#[async_trait]
impl InstanceList for HttpInstanceList {
    async fn list(
        &self,
        known_revision: Option<ListRevision>,
    ) -> Result<Option<InstanceListing>, PlatformError> {
        let path = match known_revision {
            Some(revision) => format!("/instances?known={revision}"),
            None => "/instances".to_owned(),
        };
        let (status, body) = self.client.call(Method::GET, &path, Bytes::new()).await?;
        match status {
            StatusCode::NOT_MODIFIED => Ok(None),
            StatusCode::OK => {
                serde_json::from_slice(&body)
                    .map(Some)
                    .map_err(|error| PlatformError::Malformed {
                        reason: error.to_smolstr(),
                    })
            }
            other => Err(PlatformError::Refused {
                status: other.as_u16(),
            }),
        }
    }
}
