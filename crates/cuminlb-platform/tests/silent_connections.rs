//! Services that fall silent, or never stop, at any point of a call.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cuminlb_platform::{HttpClient, PlatformError};
use cuminlb_types::prelude::*;
use http::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout};

/// The timeout of one call, and how much later it must have ended.
const TIMEOUT_MS: Millis = Millis(200);
const SLACK: Duration = Duration::from_millis(400);

/// The time after which a connection that is not used must be closed.
const MAX_IDLE: Duration = Duration::from_millis(200 * 8 * 2 + 400);

/// Starts a service that writes `start` to the first connection, and `rest` until it fails, if it is
/// not empty. The task ends when the client has closed the connection.
async fn start_service(start: &'static str, rest: &'static str) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let task = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_head(&mut stream).await;
        stream.write_all(start.as_bytes()).await.unwrap();
        let rest = rest.repeat(1_000);
        while !rest.is_empty() && stream.write_all(rest.as_bytes()).await.is_ok() {}
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

/// Checks that a call ends in time without a response, and that the connection is closed.
async fn check_ends_in_time(start: &'static str, rest: &'static str) {
    let (address, service) = start_service(start, rest).await;
    let client = HttpClient::new(address, TIMEOUT_MS);
    let started = Instant::now();
    let result = client.call(Method::GET, "/x", Bytes::new()).await;
    let elapsed = started.elapsed();
    let expected = PlatformError::NoResponse {
        timeout_ms: TIMEOUT_MS,
    };
    assert_eq!(result, Err(expected), "{start:?}");
    let limit = TIMEOUT_MS.duration() + SLACK;
    assert!(elapsed < limit, "{elapsed:?} {start:?} {rest:?}");
    let closed = timeout(SLACK, service).await;
    assert!(closed.is_ok(), "not closed: {start:?} {rest:?}");
}

#[tokio::test]
async fn a_service_that_falls_silent_is_given_up_in_time() {
    let length = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n";
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2";
    let unframed = "HTTP/1.1 200 OK\r\n\r\n{";
    for start in ["", "HTTP/1.1 200 OK\r\nx-mo", length, chunked, unframed] {
        check_ends_in_time(start, "").await;
    }
}

#[tokio::test]
async fn a_service_that_sends_interim_heads_without_end_is_given_up_in_time() {
    check_ends_in_time("", "HTTP/1.1 103 Early Hints\r\nx-more: a\r\n\r\n").await;
}

#[tokio::test]
async fn a_service_whose_head_does_not_end_is_given_up() {
    let (address, _service) = start_service("HTTP/1.1 200 OK\r\n", "x-more: a\r\n").await;
    let client = HttpClient::new(address, TIMEOUT_MS);
    let result = client.call(Method::GET, "/x", Bytes::new()).await;
    assert!(matches!(result, Err(PlatformError::NoResponse { .. })));
}

#[tokio::test]
async fn a_connection_that_is_not_used_is_closed() {
    let (address, service) =
        start_service("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", "").await;
    let client = HttpClient::new(address, TIMEOUT_MS);
    client.call(Method::GET, "/x", Bytes::new()).await.unwrap();
    assert!(timeout(MAX_IDLE, service).await.is_ok());
    drop(client);
}
