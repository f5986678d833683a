//! Tests that a graceful shutdown aborts no request before the drain timeout, and that slow or
//! oversized requests get typed refusals.

use std::net::SocketAddr;
use std::time::Duration;

use cuminlb_standins::{EngineOptions, PlainOptions};
use cuminlb_test_support::{HttpResponse, ModelPlan, PlainPlan, Site, SiteBuilder, wait_until};
use cuminlb_types::Millis;
use http::{Method, StatusCode};
use nix::sys::signal::Signal;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

const MODEL: &str = "oar-assist";

async fn start_site(settings: &str) -> Site {
    let engine = EngineOptions {
        token_gap_ms: Millis(20),
        ..EngineOptions::default()
    };
    let mut plain = PlainPlan::new("boat-desk", 1);
    plain.options = PlainOptions {
        call_ms: Millis(3_000),
    };
    SiteBuilder::default()
        .nodes(2)
        .model(ModelPlan::new(MODEL, 1, 1).engine(engine))
        .plain(plain)
        .settings(settings)
        .start_serving()
        .await
        .unwrap()
}

async fn running_requests(site: &Site) -> usize {
    let mut sum = 0;
    for upstream in 0..site.upstreams.len() {
        let response = site
            .call_upstream(upstream, Method::GET, "/control/running")
            .await
            .unwrap();
        sum += response.json().as_array().map_or(0, Vec::len);
    }
    sum
}

async fn probe_status(site: &Site, path: &str) -> Option<StatusCode> {
    let url = site.caller_url(0, path);
    let response = site.client().call(Method::GET, &url, &[], "").await;
    response.ok().map(|response| response.status)
}

fn error_fields(response: &HttpResponse) -> (String, String) {
    let text = response.text();
    let last = text.trim_end().rsplit("data: ").next().unwrap_or("");
    let body: serde_json::Value = serde_json::from_str(last).unwrap_or_default();
    let field = |name: &str| body["error"][name].as_str().unwrap_or("").to_owned();
    (field("code"), field("run_state"))
}

#[tokio::test]
async fn requests_in_flight_complete_during_shutdown() {
    let mut site = start_site("").await;
    let reservation = site.call_plain(0, Method::POST, "/boat-desk/reservations", None, "{}");
    let drain = async {
        wait_until("all requests are in flight", async || {
            running_requests(&site).await == 3
        })
        .await
        .unwrap();
        site.nodes[0].process.signal(Signal::SIGTERM);
        let signaled_at = Instant::now();
        wait_until("the node is unready", async || {
            probe_status(&site, "/readyz").await != Some(StatusCode::OK)
        })
        .await
        .unwrap();
        wait_until("the node accepts no new requests", async || {
            match site.chat(0, MODEL, false, 1).await {
                Err(_) => true,
                Ok(response) if response.status == StatusCode::OK => false,
                Ok(refused) => {
                    assert_eq!(
                        error_fields(&refused),
                        ("draining".into(), "not_run".into())
                    );
                    true
                }
            }
        })
        .await
        .unwrap();
        let elapsed = signaled_at.elapsed();
        assert!(
            elapsed < Duration::from_secs(5),
            "{elapsed:?}: {}",
            site.nodes[0].process.log()
        );
        assert!(
            running_requests(&site).await >= 1,
            "no long request is running any more"
        );
    };
    let (stream, buffered, reserved, ()) = tokio::join!(
        site.chat(0, MODEL, true, 400),
        site.chat(0, MODEL, false, 150),
        reservation,
        drain,
    );
    let stream = stream.unwrap().text();
    assert_eq!(stream.matches("token").count(), 400);
    assert!(stream.ends_with("data: [DONE]\n\n"));
    assert_eq!(buffered.unwrap().status, StatusCode::OK);
    assert_eq!(reserved.unwrap().status, StatusCode::CREATED);
    let ended = site.nodes[0].process.wait().await.unwrap();
    assert!(ended.success(), "{}", site.nodes[0].process.log());
    assert_eq!(
        site.chat(1, MODEL, false, 1).await.unwrap().status,
        StatusCode::OK
    );
    site.shut_down().await;
}

#[tokio::test]
async fn request_beyond_the_drain_timeout_ends_with_run_state_unknown() {
    let mut site = start_site("[limits]\ndrain_timeout = \"2s\"\n").await;
    let drain = async {
        wait_until("the stream is in flight", async || {
            running_requests(&site).await == 1
        })
        .await
        .unwrap();
        site.nodes[0].process.signal(Signal::SIGTERM);
    };
    let (stream, ()) = tokio::join!(site.chat(0, MODEL, true, 100_000), drain);
    let stream = stream.unwrap();
    assert_eq!(error_fields(&stream), ("draining".into(), "unknown".into()));
    let ended = site.nodes[0].process.wait().await.unwrap();
    assert!(ended.success(), "{}", site.nodes[0].process.log());
    site.shut_down().await;
}

#[tokio::test]
async fn slow_and_oversized_requests_get_typed_refusals() {
    let limits = "[limits]\nreceive_timeout = \"500ms\"\nmax_body_bytes = 2048\n";
    let site = start_site(limits).await;
    let address = SocketAddr::from((site.nodes[0].ip, 8_080));
    let mut slow = TcpStream::connect(address).await.unwrap();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: {address}\r\ncontent-length: 100\r\n\r\n{{"
    );
    slow.write_all(head.as_bytes()).await.unwrap();
    let mut response = Vec::new();
    let read = slow.read_to_end(&mut response);
    let read = tokio::time::timeout(Duration::from_secs(30), read).await;
    read.expect("the node did not close the connection")
        .unwrap();
    let response = String::from_utf8_lossy(&response).into_owned();
    assert!(response.starts_with("HTTP/1.1 408"), "{response}");
    assert!(response.contains("\"receive_timeout\"") && response.contains("\"not_run\""));

    let url = site.caller_url(0, "/v1/chat/completions");
    let body = json!({ "model": MODEL, "messages": ["x".repeat(4_096)] }).to_string();
    let large = site
        .client()
        .call(Method::POST, &url, &[], body)
        .await
        .unwrap();
    assert_eq!(large.status, StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(
        error_fields(&large),
        ("body_too_large".into(), "not_run".into())
    );

    let value = "x".repeat(20 << 10);
    let headers = [("x-long", value.as_str())];
    let large = site
        .client()
        .call(Method::POST, &url, &headers, "{}")
        .await
        .unwrap();
    assert_eq!(large.status, StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
    assert_eq!(
        error_fields(&large),
        ("headers_too_large".into(), "not_run".into())
    );
    site.shut_down().await;
}
