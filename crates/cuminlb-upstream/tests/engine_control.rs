//! An engine whose connection breaks or that is slow is not taken for one that is gone.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails by panicking"
)]

use std::net::SocketAddr;

use cuminlb_types::prelude::*;
use cuminlb_upstream::{EngineControl, HttpEngineControl, OrderError};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

const TIMEOUT_MS: Millis = Millis(200);

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Reads the beginning of a request.
async fn read_some(stream: &mut TcpStream) {
    let mut buffer = [0; 16];
    stream.read_exact(&mut buffer).await.unwrap();
}

#[tokio::test]
async fn a_process_that_refuses_connections_is_unreachable() {
    let (listener, address) = listener().await;
    drop(listener);
    let report = HttpEngineControl::new(TIMEOUT_MS).report(address).await;
    assert!(
        matches!(report, Err(OrderError::Unreachable { .. })),
        "{report:?}"
    );
}

#[tokio::test]
async fn an_order_whose_connection_breaks_may_have_been_executed() {
    let (listener, address) = listener().await;
    let engine = tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            read_some(&mut stream).await;
        }
    });
    let report = HttpEngineControl::new(TIMEOUT_MS).report(address).await;
    assert!(
        matches!(report, Err(OrderError::NoResponse { .. })),
        "{report:?}"
    );
    engine.abort();
}

#[tokio::test]
async fn a_slow_process_is_not_unreachable() {
    let (_listener, address) = listener().await;
    let report = HttpEngineControl::new(TIMEOUT_MS).report(address).await;
    assert!(
        matches!(report, Err(OrderError::NoResponse { .. })),
        "{report:?}"
    );
}
