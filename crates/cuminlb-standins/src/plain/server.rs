//! [`PlainService`].

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use cuminlb_types::prelude::*;
use cuminlb_upstream::{EngineReport, REQUEST_ID_HEADER};
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
    running: AtomicU32,
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
            running: AtomicU32::new(0),
        };
        StandinServer::start(address, FaultState::default(), Arc::new(service)).await
    }

    fn report(&self) -> EngineReport {
        EngineReport {
            incarnation: self.incarnation,
            membership: None,
            fencing: FencingNumber(0),
            warm: true,
            running: SlotCount(self.running.load(Ordering::Relaxed)),
        }
    }

    /// Executes a call: each execution is one reservation more, also of the same request.
    async fn reserve(&self, request: &Request<Bytes>) -> Response<AnswerBody> {
        let _executing = Executing::start(&self.running);
        tokio::time::sleep(self.options.call_ms.duration()).await;
        let id = request.headers().get(REQUEST_ID_HEADER);
        let reservation = Reservation {
            request: id
                .and_then(|id| id.to_str().ok())
                .unwrap_or_default()
                .to_owned(),
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

    fn executed(&self) -> MutexGuard<'_, Vec<Reservation>> {
        self.executed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Answers for PlainService {
    async fn answer(self: Arc<Self>, request: Request<Bytes>) -> Response<AnswerBody> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/control/report") => json_answer(&self.report()),
            (&Method::GET, "/control/executed") => json_answer(&*self.executed()),
            (&Method::POST, "/reservations" | "/passes") => self.reserve(&request).await,
            (&Method::GET, "/fleet") => text(StatusCode::OK, "{\"boats\":12}"),
            _ => status(StatusCode::NOT_FOUND),
        }
    }
}
