//! [`PlainService`].

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use cuminlb_types::prelude::*;
use cuminlb_upstream::{EngineReport, REQUEST_ID_HEADER, RUNNING_PATH_PREFIX};
use http::{Method, Request, Response, StatusCode};
use serde_json::json;

use super::executing::Executing;
use super::{PlainOptions, Reservation};
use crate::http_server::{AnswerBody, Answers, json as json_answer, status, text};
use crate::{FaultState, StandinError, StandinServer};

/// The stand-in for one worker of a booking or pass service.
#[derive(Debug)]
pub struct PlainService {
    options: PlainOptions,
    incarnation: Incarnation,
    executed: Mutex<Vec<Reservation>>,
    /// The requests whose calls are under way.
    running: Mutex<Vec<String>>,
}

impl PlainService {
    /// Starts the stand-in.
    ///
    /// # Errors
    ///
    /// Returns [`StandinError`] when the address can't be listened on.
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

    /// Executes a call: each execution is one reservation more, also of the same request.
    async fn reserve(&self, request: &Request<Bytes>) -> Response<AnswerBody> {
        let id = request.headers().get(REQUEST_ID_HEADER);
        let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
        let _executing = Executing::start(&self.running, id);
        tokio::time::sleep(self.options.call_ms.duration()).await;
        let reservation = Reservation {
            request: id.to_owned(),
            body: String::from_utf8_lossy(request.body()).into_owned(),
            at: UnixMillis::now(),
        };
        let mut executed = self.executed();
        executed.push(reservation);
        let number = executed.len();
        let answer = json!({ "reservation": number, "confirmed": true });
        let mut response = text(StatusCode::CREATED, answer.to_string());
        let json = http::HeaderValue::from_static("application/json");
        response
            .headers_mut()
            .insert(http::header::CONTENT_TYPE, json);
        response
    }

    fn tell_running(&self, path: &str) -> Response<AnswerBody> {
        let id = path.strip_prefix(RUNNING_PATH_PREFIX);
        let is_running = id.is_some_and(|id| self.running().iter().any(|running| running == id));
        status(if is_running {
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

impl Answers for PlainService {
    async fn answer(self: Arc<Self>, request: Request<Bytes>) -> Response<AnswerBody> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/control/report") => json_answer(&self.report()),
            (&Method::GET, "/control/executed") => json_answer(&*self.executed()),
            (&Method::GET, "/control/running") => json_answer(&*self.running()),
            (&Method::POST, "/reservations" | "/passes") => self.reserve(&request).await,
            (&Method::GET, "/fleet") => text(StatusCode::OK, "{\"boats\":12}"),
            (&Method::GET, path) => self.tell_running(path),
            _ => status(StatusCode::NOT_FOUND),
        }
    }
}
