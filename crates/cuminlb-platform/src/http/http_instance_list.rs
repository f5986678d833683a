//! [`HttpInstanceList`].

use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;
use cuminlb_types::prelude::*;
use http::{Method, StatusCode};
use smol_str::ToSmolStr;

use super::HttpCaller;
use crate::{InstanceList, InstanceListing, ListRevision, PlatformError};

/// The instance list over HTTP.
#[derive(Clone, Debug)]
pub struct HttpInstanceList {
    caller: HttpCaller,
}

impl HttpInstanceList {
    /// Prepares calls to the service at an address.
    pub fn new(address: SocketAddr, timeout_ms: Millis) -> Self {
        Self {
            caller: HttpCaller::new(address, timeout_ms),
        }
    }
}

#[async_trait]
impl InstanceList for HttpInstanceList {
    async fn list(
        &self,
        known: Option<ListRevision>,
    ) -> Result<Option<InstanceListing>, PlatformError> {
        let path = match known {
            Some(revision) => format!("/instances?known={revision}"),
            None => "/instances".to_owned(),
        };
        let (status, body) = self.caller.call(Method::GET, &path, Bytes::new()).await?;
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
