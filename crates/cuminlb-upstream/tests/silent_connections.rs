//! Upstreams that fall silent, and connections to them that are not used.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cuminlb_types::prelude::*;
use cuminlb_upstream::{EngineControl, HttpEngineControl, OrderError, UpstreamClient};
use http::Request;
use http_body_util::{BodyExt, Full};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout};

/// The timeout of one call, and how much later it must have ended.
const TIMEOUT_MS: Millis = Millis(200);
const SLACK: Duration = Duration::from_millis(400);

/// The time after which an unused connection to an upstream is closed.
const IDLE_MS: Millis = Millis(300);

/// Starts an upstream that writes `start` to the first connection. The task ends when the client has
/// closed the connection.
async fn start_upstream(start: &'static str) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let task = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_head(&mut stream).await;
        stream.write_all(start.as_bytes()).await.unwrap();
        let mut sink = Vec::new();
        let _ = stream.read_to_end(&mut sink).await;
    });
    (address, task)
}

async fn read_head(stream: &mut TcpStream) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.unwrap());
    }
}

#[tokio::test]
async fn an_engine_that_falls_silent_is_given_up_in_time() {
    let length = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{";
    for start in ["", "HTTP/1.1 200 OK\r\nx-mo", length] {
        let (address, engine) = start_upstream(start).await;
        let started = Instant::now();
        let report = HttpEngineControl::new(TIMEOUT_MS).report(address).await;
        assert!(matches!(report, Err(OrderError::NoResponse { .. })));
        assert!(started.elapsed() < TIMEOUT_MS.duration() + SLACK);
        assert!(timeout(SLACK, engine).await.is_ok(), "{start:?}");
    }
}

#[tokio::test]
async fn a_silent_upstream_is_not_taken_to_run_a_request() {
    let (address, _upstream) = start_upstream("HTTP/1.1 200 OK\r\nx-mo").await;
    let client = UpstreamClient::new(TIMEOUT_MS, IDLE_MS);
    let started = Instant::now();
    let id = "r1".parse().unwrap();
    assert!(!client.is_running(address, &id).await);
    assert!(started.elapsed() < TIMEOUT_MS.duration() * 2 + SLACK);
}

#[tokio::test]
async fn an_unused_connection_to_an_engine_is_closed() {
    let response = "HTTP/1.1 503 Full\r\ncontent-length: 0\r\n\r\n";
    let (address, engine) = start_upstream(response).await;
    let control = HttpEngineControl::new(TIMEOUT_MS);
    assert!(control.report(address).await.is_err());
    let max_idle = TIMEOUT_MS.duration() * 16 + SLACK;
    assert!(timeout(max_idle, engine).await.is_ok());
    drop(control);
}

#[tokio::test]
async fn an_unused_connection_to_an_upstream_is_closed() {
    let response = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    let (address, upstream) = start_upstream(response).await;
    let client = UpstreamClient::new(TIMEOUT_MS, IDLE_MS);
    let request = Request::get(format!("http://{address}/x"));
    let request = request.body(Full::new(Bytes::new())).unwrap();
    let response = client.send(request).await.unwrap();
    response.into_body().collect().await.unwrap();
    let max_idle = IDLE_MS.duration() * 2 + SLACK;
    assert!(timeout(max_idle, upstream).await.is_ok());
    drop(client);
}
