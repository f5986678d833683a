//! The stand-in for a plain service: it executes calls and records each execution.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use cuminlb_types::prelude::*;
use cuminlb_upstream::{EngineReport, REQUEST_ID_HEADER, RUNNING_PATH_PREFIX};
use http::{Method, Request, Response, StatusCode};
use serde_json::json;

use super::running_call::RunningCall;
use super::{PlainOptions, Reservation};
use crate::http_server::{
    RequestHandler, ResponseBody, empty_response, json_response, text_response,
};
use crate::{FaultState, StandinError, StandinServer};

/// The stand-in for one worker of a plain service, such as a booking or pass service.
#[derive(Debug)]
pub struct PlainService {
    options: PlainOptions,
    incarnation: Incarnation,
    executed: Mutex<Vec<Reservation>>,
    /// The ids of the requests whose calls are in flight.
    running: Mutex<Vec<String>>,
}

impl PlainService {
    /// Starts the stand-in.
    ///
    /// # Errors
    ///
    /// Returns [`StandinError`] if it cannot listen on the address.
    pub async fn start(
        address: SocketAddr,
        options: PlainOptions,
    ) -> Result<StandinServer, StandinError> {
        let incarnation = Incarnation(UnixMillis::now().get());
        let service = Self {
            options,
            incarnation,
            executed: Mutex::default(),
            running: Mutex::default(),
        };
        StandinServer::start(address, FaultState::default(), Arc::new(service)).await
    }

    fn report(&self) -> EngineReport {
        EngineReport {
            incarnation: self.incarnation,
            membership: None,
            fencing: FencingNumber(0),
            warm: true,
            running: SlotCount(u32::try_from(self.running().len()).unwrap_or(u32::MAX)),
        }
    }

    /// Executes a call. Each execution adds a reservation, even for a request that has already been
    /// executed, so that duplicate executions can be detected.
    async fn reserve(&self, request: &Request<Bytes>) -> Response<ResponseBody> {
        let id = request.headers().get(REQUEST_ID_HEADER);
        let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
        let _running_call = RunningCall::start(&self.running, id);
        tokio::time::sleep(self.options.call_ms.duration()).await;
        let reservation = Reservation {
            request: id.to_owned(),
            body: String::from_utf8_lossy(request.body()).into_owned(),
            at: UnixMillis::now(),
        };
        let mut executed = self.executed();
        executed.push(reservation);
        let number = executed.len();
        let confirmation = json!({ "reservation": number, "confirmed": true });
        let mut response = text_response(StatusCode::CREATED, confirmation.to_string());
        let json = http::HeaderValue::from_static("application/json");
        response
            .headers_mut()
            .insert(http::header::CONTENT_TYPE, json);
        response
    }

    /// Returns status 200 if the request named in `path` is running, else 404.
    fn running_status(&self, path: &str) -> Response<ResponseBody> {
        let id = path.strip_prefix(RUNNING_PATH_PREFIX);
        let is_running = id.is_some_and(|id| self.running().iter().any(|running| running == id));
        empty_response(if is_running {
            StatusCode::OK
        } else {
            StatusCode::NOT_FOUND
        })
    }

    fn running(&self) -> MutexGuard<'_, Vec<String>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn executed(&self) -> MutexGuard<'_, Vec<Reservation>> {
        self.executed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RequestHandler for PlainService {
    async fn handle(self: Arc<Self>, request: Request<Bytes>) -> Response<ResponseBody> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/control/report") => json_response(&self.report()),
            (&Method::GET, "/control/executed") => json_response(&*self.executed()),
            (&Method::GET, "/control/running") => json_response(&*self.running()),
            (&Method::POST, "/reservations" | "/passes") => self.reserve(&request).await,
            (&Method::GET, "/fleet") => text_response(StatusCode::OK, "{\"boats\":12}"),
            (&Method::GET, path) => self.running_status(path),
            _ => empty_response(StatusCode::NOT_FOUND),
        }
    }
}
