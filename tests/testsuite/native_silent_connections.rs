//! Tests of nodes on the users' platform: callers that say nothing more, and instances whose host drops
//! what opens a connection.

use std::time::Duration;

use futures_util::future::join_all;
use http::StatusCode;
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{Instant, timeout};

use crate::answering_site::{
    ANSWERING, LOOKUP, RESERVE, STREAM, answering_site, send, wait_rows_read,
};
use crate::answering_worker::{Answer, AnsweringWorker, WorkerRequest};
use crate::native_catalog::native_catalog;
use crate::native_site::{LOOKUP_PATH, NativeSite, RESERVE_PATH};
use crate::raw_caller::{RawCaller, request_head};

/// The processing time of a plain request, on which no test here depends.
const SHORT_WORK: Duration = Duration::from_millis(5);

/// How long a refusal by a node that can't connect may take.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The number of connections that fill the queue of a listener that accepts none.
const QUEUE_LEN: u32 = 1;
const QUEUED: usize = 4;

/// Registers an instance whose host drops what opens a connection. It lasts as long as the result.
async fn register_silent_host(site: &NativeSite) -> (TcpListener, Vec<TcpStream>) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(QUEUE_LEN).unwrap();
    let address = listener.local_addr().unwrap();
    let mut queued = Vec::new();
    for _ in 0..QUEUED {
        let connected = timeout(Duration::from_millis(300), TcpStream::connect(address)).await;
        queued.extend(connected.into_iter().flatten());
    }
    let entry = json!({
        "service": ANSWERING, "address": address.to_string(), "zone": "za", "version": "v1",
        "slots": 6, "state": "ready", "warmupRemainingMs": 0, "sequence": 1, "born": 1,
    });
    site.fleet.rows.put("servers", "silent", &entry);
    (listener, queued)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_instance_has_a_silent_host_is_refused_soon_as_not_run() {
    let site = answering_site(1).await;
    let _silent = register_silent_host(&site).await;
    wait_rows_read(&site).await;
    for route in [LOOKUP, RESERVE, STREAM] {
        let sent_at = Instant::now();
        let response = send(&site, route, "r1").await.unwrap();
        let elapsed = sent_at.elapsed();
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE, "{route}");
        assert!(elapsed < REFUSAL_TIMEOUT, "{elapsed:?} {route}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_served_beside_an_instance_with_a_silent_host() {
    let site = answering_site(1).await;
    let _silent = register_silent_host(&site).await;
    let respond = |_: &WorkerRequest| Answer::complete(200, "", "ok");
    let _worker = AnsweringWorker::start(&site.fleet, "k0", ANSWERING, respond).await;
    wait_rows_read(&site).await;
    for number in 0..8 {
        let route = [LOOKUP, RESERVE][number % 2];
        let response = send(&site, route, &format!("r{number}")).await.unwrap();
        assert_eq!(response.text(), "ok", "{route} {number}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unused_connection_to_an_instance_is_closed() {
    // The time that the instance states, and that after which the connection must have been closed.
    let cases = [
        ("keep-alive: timeout=2\r\n", 4_000),
        ("", 6_000),
        ("keep-alive: timeout=100000\r\n", 22_000),
    ];
    let checks = cases.map(|(stated, max_idle_ms)| async move {
        let site = answering_site(1).await;
        let respond = move |_: &WorkerRequest| Answer::complete(200, stated, "ok");
        let worker = AnsweringWorker::start(&site.fleet, "k0", ANSWERING, respond).await;
        wait_rows_read(&site).await;
        assert_eq!(send(&site, LOOKUP, "r1").await.unwrap().text(), "ok");
        let max_idle = Duration::from_millis(max_idle_ms);
        let closed = timeout(max_idle, worker.wait_closed()).await;
        assert!(closed.is_ok(), "{stated:?}");
    });
    join_all(checks).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_does_not_send_the_rest_of_a_refused_body_is_closed() {
    let site = NativeSite::start(1, 2, SHORT_WORK).await;
    site.wait_serving().await;
    let mut caller = RawCaller::connect(&site.nodes[0]).await;
    let body = format!("content-length: 9000000\r\n\r\n{}", "b".repeat(100_000));
    caller
        .write(request_head("POST", LOOKUP_PATH, "long", &body))
        .await
        .unwrap();
    let since = Instant::now();
    assert_eq!(caller.read_response().await.unwrap().status, 413);
    caller.wait_closed().await;
    let elapsed = since.elapsed();
    assert!(elapsed < Duration::from_millis(4_000), "{elapsed:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_says_nothing_is_closed_after_the_idle_time() {
    let site = NativeSite::start(1, 2, SHORT_WORK).await;
    site.wait_serving().await;
    let mut catalog = native_catalog(2, &[]);
    catalog["limits"]["idleTimeoutMs"] = Value::from(1_000);
    site.fleet.rows.put("op", "config", &catalog);
    site.wait_catalog(2).await;
    let since = Instant::now();
    let mut caller = RawCaller::connect(&site.nodes[0]).await;
    caller.wait_closed().await;
    let elapsed = since.elapsed();
    assert!(elapsed < Duration::from_millis(2_000), "{elapsed:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_body_stops_is_refused_and_its_connection_closed() {
    let site = NativeSite::start(1, 2, SHORT_WORK).await;
    site.wait_serving().await;
    let bodies = [
        "content-length: 9\r\n\r\nabc",
        "transfer-encoding: chunked\r\n\r\n3\r\nab",
    ];
    for path in [LOOKUP_PATH, RESERVE_PATH] {
        for body in bodies {
            let mut caller = RawCaller::connect(&site.nodes[0]).await;
            let since = Instant::now();
            caller
                .write(request_head("POST", path, "stops", body))
                .await
                .unwrap();
            let response = caller.read_response().await.unwrap();
            assert_eq!(response.status, 408, "{path} {body:?}");
            caller.wait_closed().await;
            // The body has half of the time that the caller waits.
            let elapsed = since.elapsed();
            assert!(elapsed < Duration::from_millis(6_000), "{elapsed:?}");
        }
    }
}
