//! [`StandinServer`].

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use smol_str::ToSmolStr;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};
use tokio_util::sync::CancellationToken;

use crate::traffic::{CountingStream, Traffic};
use crate::{Fault, FaultState, StandinError};

/// The body of a stand-in's answer.
pub type AnswerBody = UnsyncBoxBody<Bytes, std::io::Error>;

/// What one stand-in answers.
pub trait Answers: Send + Sync + 'static {
    /// Answers one request whose body has been read.
    fn answer(
        self: Arc<Self>,
        request: Request<Bytes>,
    ) -> impl Future<Output = Response<AnswerBody>> + Send;
}

/// A running stand-in: where it listens, its fault, and the task to join.
#[derive(Debug)]
pub struct StandinServer {
    address: SocketAddr,
    fault: FaultState,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

impl StandinServer {
    /// Starts a stand-in on an address; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// Returns [`StandinError`] when the address can't be listened on.
    pub async fn start<A: Answers>(
        address: SocketAddr,
        fault: FaultState,
        answers: Arc<A>,
    ) -> Result<Self, StandinError> {
        let bind_error = |error: std::io::Error| StandinError::Bind {
            address,
            reason: error.to_smolstr(),
        };
        let listener = TcpListener::bind(address).await.map_err(bind_error)?;
        let address = listener.local_addr().map_err(bind_error)?;
        let stop = CancellationToken::new();
        let task = tokio::spawn(accept(listener, fault.clone(), answers, stop.clone()));
        Ok(Self {
            address,
            fault,
            stop,
            task,
        })
    }

    /// Returns the address that the stand-in listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Switches the fault.
    pub fn set_fault(&self, fault: Fault) {
        self.fault.set(fault);
    }

    /// Closes all connections at once and waits for the tasks.
    pub async fn stop(self) {
        self.stop.cancel();
        let _ = self.task.await;
    }
}

async fn accept<A: Answers>(
    listener: TcpListener,
    fault: FaultState,
    answers: Arc<A>,
    stop: CancellationToken,
) {
    let endpoint = Arc::new(Endpoint {
        fault,
        traffic: Arc::default(),
        answers,
    });
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = stop.cancelled() => break,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                connections.spawn(serve(stream, Arc::clone(&endpoint), stop.clone()));
            },
        }
    }
    while connections.join_next().await.is_some() {}
}

async fn serve<A: Answers>(stream: TcpStream, endpoint: Arc<Endpoint<A>>, stop: CancellationToken) {
    let _ = stream.set_nodelay(true);
    let stream = CountingStream::new(stream, Arc::clone(&endpoint.traffic));
    let service = service_fn(|request: Request<Incoming>| {
        let endpoint = Arc::clone(&endpoint);
        async move { Ok::<_, Infallible>(endpoint.answer(request).await) }
    });
    let connection =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        () = stop.cancelled() => {}
        _ = connection => {}
    }
}

/// What the connections of one stand-in share.
struct Endpoint<A> {
    fault: FaultState,
    traffic: Arc<Traffic>,
    answers: Arc<A>,
}

impl<A: Answers> Endpoint<A> {
    async fn answer(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        let (head, body) = request.into_parts();
        let Ok(body) = body.collect().await else {
            return status(StatusCode::BAD_REQUEST);
        };
        let body = body.to_bytes();
        match (&head.method, head.uri.path()) {
            (&Method::PUT, "/fault") => return switch_fault(&self.fault, &body),
            (&Method::GET, "/traffic") => return json(&self.traffic.report()),
            (_, path) => self.traffic.count_call(path),
        }
        self.fault.hold().await;
        let answers = Arc::clone(&self.answers);
        let is_write = head.uri.path() == "/table/commit";
        match self.fault.get() {
            Fault::Refusing => status(StatusCode::SERVICE_UNAVAILABLE),
            Fault::WriteAnswerLost if !is_write => {
                answers.answer(Request::from_parts(head, body)).await
            }
            Fault::AnswerLost | Fault::WriteAnswerLost => {
                let _ = answers.answer(Request::from_parts(head, body)).await;
                std::future::pending().await
            }
            _ => answers.answer(Request::from_parts(head, body)).await,
        }
    }
}

fn switch_fault(fault: &FaultState, body: &[u8]) -> Response<AnswerBody> {
    match serde_json::from_slice(body) {
        Ok(wanted) => {
            fault.set(wanted);
            status(StatusCode::NO_CONTENT)
        }
        Err(error) => text(StatusCode::BAD_REQUEST, error.to_string()),
    }
}

/// Returns an answer without a body.
pub fn status(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(Empty::new().map_err(|never| match never {}).boxed_unsync());
    *response.status_mut() = status;
    response
}

/// Returns an answer with a body.
pub fn text(status: StatusCode, body: impl Into<Bytes>) -> Response<AnswerBody> {
    let mut response = Response::new(
        Full::new(body.into())
            .map_err(|never| match never {})
            .boxed_unsync(),
    );
    *response.status_mut() = status;
    response
}

/// Returns an answer with a JSON body.
pub fn json<T: serde::Serialize>(value: &T) -> Response<AnswerBody> {
    match serde_json::to_vec(value) {
        Ok(body) => text(StatusCode::OK, body),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}
