//! The HTTP endpoints of the platform's stand-in.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use cuminlb_platform::ListRevision;
use http::{Method, Request, Response, StatusCode};

use super::PlatformOptions;
use super::lagging_list::LaggingList;
use super::rows::Rows;
use crate::http_server::{
    RequestHandler, ResponseBody, empty_response, json_response, text_response,
};
use crate::{FaultState, StandinError, StandinServer};

/// The platform's stand-in: table, object store and instance list at one address.
#[derive(Debug)]
pub struct Platform {
    rows: Mutex<Rows>,
    objects: Mutex<HashMap<String, Bytes>>,
    list: Mutex<LaggingList>,
}

impl Platform {
    /// Starts the stand-in.
    ///
    /// # Errors
    ///
    /// Returns [`StandinError`] if it cannot listen on the address.
    pub async fn start(
        address: SocketAddr,
        options: PlatformOptions,
    ) -> Result<StandinServer, StandinError> {
        let platform = Self {
            rows: Mutex::default(),
            objects: Mutex::default(),
            list: Mutex::new(LaggingList::new(options.list_lag_ms)),
        };
        StandinServer::start(address, FaultState::default(), Arc::new(platform)).await
    }

    fn read(&self, body: &[u8]) -> Response<ResponseBody> {
        match serde_json::from_slice::<Vec<_>>(body) {
            Ok(queries) => json_response(&lock(&self.rows).read(&queries)),
            Err(error) => text_response(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }

    fn commit(&self, body: &[u8]) -> Response<ResponseBody> {
        match serde_json::from_slice(body) {
            Ok(transaction) => json_response(&lock(&self.rows).commit(transaction)),
            Err(error) => text_response(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }

    fn set_instances(&self, body: &[u8]) -> Response<ResponseBody> {
        match serde_json::from_slice(body) {
            Ok(instances) => {
                lock(&self.list).set(instances);
                empty_response(StatusCode::NO_CONTENT)
            }
            Err(error) => text_response(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }

    fn instances(&self, query: Option<&str>) -> Response<ResponseBody> {
        let known = query.and_then(|query| query.strip_prefix("known=")?.parse().ok());
        let mut list = lock(&self.list);
        let listing = list.get();
        if known.map(ListRevision) == Some(listing.revision) {
            empty_response(StatusCode::NOT_MODIFIED)
        } else {
            json_response(listing)
        }
    }

    fn object(&self, request: &Request<Bytes>, key: &str) -> Response<ResponseBody> {
        let mut objects = lock(&self.objects);
        match *request.method() {
            Method::PUT => {
                objects.insert(key.to_owned(), request.body().clone());
                empty_response(StatusCode::NO_CONTENT)
            }
            Method::GET => match objects.get(key) {
                Some(object) => text_response(StatusCode::OK, object.clone()),
                None => empty_response(StatusCode::NOT_FOUND),
            },
            _ => empty_response(StatusCode::METHOD_NOT_ALLOWED),
        }
    }
}

impl RequestHandler for Platform {
    async fn handle(self: Arc<Self>, request: Request<Bytes>) -> Response<ResponseBody> {
        let path = request.uri().path();
        match (request.method(), path) {
            (&Method::POST, "/table/read") => self.read(request.body()),
            (&Method::POST, "/table/commit") => self.commit(request.body()),
            (&Method::GET, "/instances") => self.instances(request.uri().query()),
            (&Method::PUT, "/instances") => self.set_instances(request.body()),
            _ => match path.strip_prefix("/objects/") {
                Some(key) => self.object(&request, key),
                None => empty_response(StatusCode::NOT_FOUND),
            },
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
