//! The HTTP endpoints of an engine's stand-in: completions, orders, reports and test controls.

use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use cuminlb_upstream::{
    DONE_MARKER, EPOCH_HEADER, GROUP_HEADER, REQUEST_ID_HEADER, RESUME_HEADER, RUN_STATE_HEADER,
    RUN_STATE_NOT_RUN, RUNNING_PATH_PREFIX,
};
use futures_util::stream::{StreamExt, unfold};
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use serde_json::Value;
use tokio_util::sync::CancellationToken;

use super::EngineOptions;
use super::completion::{chunk, completion};
use super::state::EngineState;
use crate::http_server::{
    RequestHandler, ResponseBody, empty_response, json_response, text_response,
};
use crate::{Fault, FaultState, StandinError, StandinServer};

/// The stand-in for one member instance of a model.
#[derive(Debug)]
pub struct Engine {
    options: EngineOptions,
    state: Mutex<EngineState>,
    fault: FaultState,
    /// The ids of the running requests.
    running: Mutex<HashSet<String>>,
    /// The engine crashes when a request body contains this text.
    crash_text: Mutex<Option<String>>,
    crashed: CancellationToken,
}

impl Engine {
    /// Starts the stand-in. A crash, due to overload or to the crash text, cancels `crashed`.
    ///
    /// # Errors
    ///
    /// Returns [`StandinError`] if it cannot listen on the address.
    pub async fn start(
        address: SocketAddr,
        options: EngineOptions,
        crashed: CancellationToken,
    ) -> Result<StandinServer, StandinError> {
        let fault = FaultState::default();
        let state = Mutex::new(EngineState::new(options));
        let engine = Self {
            options,
            state,
            fault: fault.clone(),
            running: Mutex::default(),
            crash_text: Mutex::default(),
            crashed,
        };
        StandinServer::start(address, fault, Arc::new(engine)).await
    }

    fn order(&self, body: &[u8]) -> Response<ResponseBody> {
        match serde_json::from_slice(body) {
            Ok(order) => match self.state().handle_order(order) {
                Some(report) => json_response(&report),
                None => empty_response(StatusCode::PRECONDITION_FAILED),
            },
            Err(error) => text_response(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }

    async fn complete(self: Arc<Self>, request: Request<Bytes>) -> Response<ResponseBody> {
        let header = |name: &str| request.headers().get(name)?.to_str().ok();
        if !self
            .state()
            .serves(header(GROUP_HEADER), header(EPOCH_HEADER))
        {
            let mut refusal = empty_response(StatusCode::CONFLICT);
            let not_run = HeaderValue::from_static(RUN_STATE_NOT_RUN);
            refusal.headers_mut().insert(RUN_STATE_HEADER, not_run);
            return refusal;
        }
        let Ok(body) = serde_json::from_slice::<Value>(request.body()) else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        let id = header(REQUEST_ID_HEADER).unwrap_or_default().to_owned();
        let model = body["model"].as_str().unwrap_or_default().to_owned();
        let tokens = body["max_tokens"]
            .as_u64()
            .unwrap_or(self.options.tokens.get());
        let running = RunningRequest::start(Arc::clone(&self), &id);
        let running = running.filter(|_| !self.crashes_on(request.body()));
        let Some(running) = running else {
            self.crashed.cancel();
            return std::future::pending().await;
        };
        let id = match self.fault.get() {
            Fault::WrongIds => format!("not-{id}"),
            _ => id,
        };
        if body["stream"] == Value::Bool(true) {
            let resume_index = header(RESUME_HEADER).and_then(|count| count.parse().ok());
            return stream_response(TokenStream {
                running,
                id,
                model,
                tokens,
                next: resume_index.unwrap_or(0),
            });
        }
        let generation_time =
            self.options.token_gap_ms.duration() * u32::try_from(tokens).unwrap_or(0);
        tokio::time::sleep(self.options.first_token_ms.duration() + generation_time).await;
        json_response(&completion(&id, &model, tokens))
    }

    fn crashes_on(&self, body: &[u8]) -> bool {
        let text = lock(&self.crash_text);
        text.as_deref()
            .is_some_and(|text| String::from_utf8_lossy(body).contains(text))
    }

    fn set_crash_text(&self, body: &[u8]) -> Response<ResponseBody> {
        let text = String::from_utf8_lossy(body).into_owned();
        *lock(&self.crash_text) = Some(text).filter(|text| !text.is_empty());
        empty_response(StatusCode::NO_CONTENT)
    }

    /// Returns status 200 if the request named in `path` is running, else 404.
    fn running_status(&self, path: &str) -> Response<ResponseBody> {
        let id = path.strip_prefix(RUNNING_PATH_PREFIX);
        match id {
            Some(id) if lock(&self.running).contains(id) => empty_response(StatusCode::OK),
            _ => empty_response(StatusCode::NOT_FOUND),
        }
    }

    fn state(&self) -> MutexGuard<'_, EngineState> {
        lock(&self.state)
    }
}

impl RequestHandler for Engine {
    async fn handle(self: Arc<Self>, request: Request<Bytes>) -> Response<ResponseBody> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/control/report") => json_response(&self.state().report()),
            (&Method::POST, "/control/order") => self.order(request.body()),
            (&Method::PUT, "/control/fall-cold") => {
                self.state().restart_cold_start();
                empty_response(StatusCode::NO_CONTENT)
            }
            (&Method::GET, "/control/highest") => json_response(&self.state().peak_running()),
            (&Method::POST, "/v1/chat/completions" | "/v1/completions") => {
                self.complete(request).await
            }
            (&Method::GET, "/control/running") => json_response(&*lock(&self.running)),
            (&Method::PUT, "/control/crash-on") => self.set_crash_text(request.body()),
            (&Method::GET, path) => self.running_status(path),
            _ => empty_response(StatusCode::NOT_FOUND),
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A running request; dropping it ends the request.
struct RunningRequest {
    engine: Arc<Engine>,
    id: String,
}

impl RunningRequest {
    /// Registers a request; returns `None` if it overloads the engine.
    fn start(engine: Arc<Engine>, id: &str) -> Option<Self> {
        let has_capacity = engine.state().start_request();
        lock(&engine.running).insert(id.to_owned());
        let id = id.to_owned();
        let running = Self { engine, id };
        has_capacity.then_some(running)
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        lock(&self.engine.running).remove(&self.id);
        self.engine.state().end_request();
    }
}

/// A streamed response in progress.
struct TokenStream {
    running: RunningRequest,
    id: String,
    model: String,
    tokens: u64,
    next: u64,
}

fn stream_response(stream: TokenStream) -> Response<ResponseBody> {
    let skipped_tokens = stream.next;
    let frames = unfold(stream, |mut stream| async move {
        let frame = stream.next_frame().await?;
        Some((frame.map(Frame::data), stream))
    });
    let mut response = Response::new(StreamBody::new(frames.boxed()).boxed_unsync());
    let event_stream = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, event_stream);
    if skipped_tokens > 0 {
        let skipped_tokens = HeaderValue::from(skipped_tokens);
        response.headers_mut().insert(RESUME_HEADER, skipped_tokens);
    }
    response
}

impl TokenStream {
    /// Returns the next chunk, an error that resets the stream, or `None` at its end.
    async fn next_frame(&mut self) -> Option<io::Result<Bytes>> {
        let engine = &self.running.engine;
        if self.next > self.tokens {
            return None;
        }
        let index = self.next;
        self.next += 1;
        let options = &engine.options;
        let pause = if index == 0 {
            options.first_token_ms
        } else {
            options.token_gap_ms
        };
        tokio::time::sleep(pause.duration()).await;
        engine.fault.apply_delay().await;
        match engine.fault.get() {
            Fault::BreakStreams { after_chunks } if index >= u64::from(after_chunks) => {
                return Some(Err(io::ErrorKind::ConnectionReset.into()));
            }
            Fault::SilenceStreams { after_chunks } if index >= u64::from(after_chunks) => {
                std::future::pending::<()>().await;
            }
            _ => {}
        }
        let text = if index == self.tokens {
            format!("data: {DONE_MARKER}\n\n")
        } else {
            chunk(&self.id, &self.model, index)
        };
        Some(Ok(text.into()))
    }
}
