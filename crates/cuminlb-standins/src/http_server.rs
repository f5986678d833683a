//! The HTTP server that all stand-ins share, with the `/fault` and `/traffic` endpoints.

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

use crate::traffic::{CountingStream, TrafficCounter};
use crate::{Fault, FaultState, StandinError};

/// The response body of a stand-in.
pub type ResponseBody = UnsyncBoxBody<Bytes, std::io::Error>;

/// The request handler of one kind of stand-in.
pub trait RequestHandler: Send + Sync + 'static {
    /// Handles a request whose body has been read completely.
    fn handle(
        self: Arc<Self>,
        request: Request<Bytes>,
    ) -> impl Future<Output = Response<ResponseBody>> + Send;
}

/// A running stand-in: its address, its fault switch and its accept task.
#[derive(Debug)]
pub struct StandinServer {
    address: SocketAddr,
    fault: FaultState,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

impl StandinServer {
    /// Starts a stand-in on `address`; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns [`StandinError`] if it cannot listen on the address.
    pub async fn start<A: RequestHandler>(
        address: SocketAddr,
        fault: FaultState,
        handler: Arc<A>,
    ) -> Result<Self, StandinError> {
        let bind_error = |error: std::io::Error| StandinError::Bind {
            address,
            reason: error.to_smolstr(),
        };
        let listener = TcpListener::bind(address).await.map_err(bind_error)?;
        let address = listener.local_addr().map_err(bind_error)?;
        let stop = CancellationToken::new();
        let task = tokio::spawn(accept(listener, fault.clone(), handler, stop.clone()));
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

    /// Closes all connections immediately and waits until the tasks have ended.
    pub async fn stop(self) {
        self.stop.cancel();
        let _ = self.task.await;
    }
}

async fn accept<A: RequestHandler>(
    mut listener: TcpListener,
    fault: FaultState,
    handler: Arc<A>,
    stop: CancellationToken,
) {
    let endpoint = Arc::new(Endpoint {
        fault: fault.clone(),
        traffic: Arc::default(),
        handler,
    });
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = stop.cancelled() => break,
            Some(_) = connections.join_next() => {}
            () = fault.wait_for(|fault| *fault == Fault::Crashed) => {
                connections.shutdown().await;
                match listen_after_crash(listener, &fault, &stop).await {
                    Some(new_listener) => listener = new_listener,
                    None => return,
                }
            }
            accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                connections.spawn(serve(stream, Arc::clone(&endpoint), stop.clone()));
            },
        }
    }
    while connections.join_next().await.is_some() {}
}

/// Closes the listener until the crash is over; `None` if the stand-in is stopped, or if its address
/// can't be listened on again.
async fn listen_after_crash(
    listener: TcpListener,
    fault: &FaultState,
    stop: &CancellationToken,
) -> Option<TcpListener> {
    let address = listener.local_addr().ok()?;
    drop(listener);
    tokio::select! {
        () = stop.cancelled() => None,
        () = fault.wait_for(|fault| *fault != Fault::Crashed) => TcpListener::bind(address).await.ok(),
    }
}

async fn serve<A: RequestHandler>(
    stream: TcpStream,
    endpoint: Arc<Endpoint<A>>,
    stop: CancellationToken,
) {
    let _ = stream.set_nodelay(true);
    let stream = CountingStream::new(stream, Arc::clone(&endpoint.traffic));
    let service = service_fn(|request: Request<Incoming>| {
        let endpoint = Arc::clone(&endpoint);
        async move { Ok::<_, Infallible>(endpoint.handle(request).await) }
    });
    let connection =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        () = stop.cancelled() => {}
        _ = connection => {}
    }
}

/// The state that all connections of one stand-in share.
struct Endpoint<A> {
    fault: FaultState,
    traffic: Arc<TrafficCounter>,
    handler: Arc<A>,
}

impl<A: RequestHandler> Endpoint<A> {
    async fn handle(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let (head, body) = request.into_parts();
        let Ok(body) = body.collect().await else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        let body = body.to_bytes();
        match (&head.method, head.uri.path()) {
            (&Method::PUT, "/fault") => return update_fault(&self.fault, &body),
            (&Method::GET, "/traffic") => return json_response(&self.traffic.report()),
            (_, path) => self.traffic.count_call(path),
        }
        self.fault.apply_delay().await;
        let handler = Arc::clone(&self.handler);
        let is_write = head.uri.path() == "/table/commit";
        match self.fault.get() {
            Fault::Refusing => empty_response(StatusCode::SERVICE_UNAVAILABLE),
            Fault::WriteAnswerLost if !is_write => {
                handler.handle(Request::from_parts(head, body)).await
            }
            Fault::AnswerLost | Fault::WriteAnswerLost => {
                let _ = handler.handle(Request::from_parts(head, body)).await;
                std::future::pending().await
            }
            _ => handler.handle(Request::from_parts(head, body)).await,
        }
    }
}

fn update_fault(fault: &FaultState, body: &[u8]) -> Response<ResponseBody> {
    match serde_json::from_slice(body) {
        Ok(new_fault) => {
            fault.set(new_fault);
            empty_response(StatusCode::NO_CONTENT)
        }
        Err(error) => text_response(StatusCode::BAD_REQUEST, error.to_string()),
    }
}

/// Returns a response without a body.
pub fn empty_response(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(Empty::new().map_err(|never| match never {}).boxed_unsync());
    *response.status_mut() = status;
    response
}

/// Returns a response with the given body.
pub fn text_response(status: StatusCode, body: impl Into<Bytes>) -> Response<ResponseBody> {
    let mut response = Response::new(
        Full::new(body.into())
            .map_err(|never| match never {})
            .boxed_unsync(),
    );
    *response.status_mut() = status;
    response
}

/// Returns a response with a JSON body; status 500 if the value cannot be serialized.
pub fn json_response<T: serde::Serialize>(value: &T) -> Response<ResponseBody> {
    match serde_json::to_vec(value) {
        Ok(body) => text_response(StatusCode::OK, body),
        Err(error) => text_response(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}
