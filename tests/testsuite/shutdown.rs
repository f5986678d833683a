//! A graceful shutdown cuts off no request, and what callers send wrongly is refused in words.

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

async fn site(settings: &str) -> Site {
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

async fn running(site: &Site) -> usize {
    let mut sum = 0;
    for upstream in 0..site.upstreams.len() {
        let answer = site
            .call_upstream(upstream, Method::GET, "/control/running")
            .await
            .unwrap();
        sum += answer.json().as_array().map_or(0, Vec::len);
    }
    sum
}

async fn status_of(site: &Site, path: &str) -> Option<StatusCode> {
    let url = site.caller_url(0, path);
    let answer = site.client().call(Method::GET, &url, &[], "").await;
    answer.ok().map(|answer| answer.status)
}

fn error_of(answer: &HttpResponse) -> (String, String) {
    let text = answer.text();
    let last = text.trim_end().rsplit("data: ").next().unwrap_or("");
    let body: serde_json::Value = serde_json::from_str(last).unwrap_or_default();
    let field = |name: &str| body["error"][name].as_str().unwrap_or("").to_owned();
    (field("code"), field("run_state"))
}

#[tokio::test]
async fn requests_in_flight_end_whole() {
    let mut site = site("").await;
    let reserve = site.call_plain(0, Method::POST, "/boat-desk/reservations", None, "{}");
    let drain = async {
        wait_until("all are in flight", async || running(&site).await == 3)
            .await
            .unwrap();
        site.nodes[0].process.signal(Signal::SIGTERM);
        let told_at = Instant::now();
        wait_until("the node is unready", async || {
            status_of(&site, "/readyz").await != Some(StatusCode::OK)
        })
        .await
        .unwrap();
        wait_until("the node takes no new work", async || {
            match site.chat(0, MODEL, false, 1).await {
                Err(_) => true,
                Ok(answer) if answer.status == StatusCode::OK => false,
                Ok(refused) => {
                    assert_eq!(error_of(&refused), ("draining".into(), "not_run".into()));
                    true
                }
            }
        })
        .await
        .unwrap();
        let took = told_at.elapsed();
        assert!(
            took < Duration::from_secs(5),
            "{took:?}: {}",
            site.nodes[0].process.log()
        );
        assert!(running(&site).await >= 1, "the long ones still run");
    };
    let (stream, whole, reserved, ()) = tokio::join!(
        site.chat(0, MODEL, true, 400),
        site.chat(0, MODEL, false, 150),
        reserve,
        drain,
    );
    let stream = stream.unwrap().text();
    assert_eq!(stream.matches("token").count(), 400);
    assert!(stream.ends_with("data: [DONE]\n\n"));
    assert_eq!(whole.unwrap().status, StatusCode::OK);
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
async fn request_beyond_the_drain_timeout_is_told_the_truth() {
    let mut site = site("[limits]\ndrain_timeout = \"2s\"\n").await;
    let drain = async {
        wait_until("the stream is in flight", async || {
            running(&site).await == 1
        })
        .await
        .unwrap();
        site.nodes[0].process.signal(Signal::SIGTERM);
    };
    let (stream, ()) = tokio::join!(site.chat(0, MODEL, true, 100_000), drain);
    let stream = stream.unwrap();
    assert_eq!(error_of(&stream), ("draining".into(), "unknown".into()));
    let ended = site.nodes[0].process.wait().await.unwrap();
    assert!(ended.success(), "{}", site.nodes[0].process.log());
    site.shut_down().await;
}

#[tokio::test]
async fn slow_and_oversized_requests_are_refused_in_words() {
    let limits = "[limits]\nreceive_timeout = \"500ms\"\nmax_body_bytes = 2048\n";
    let site = site(limits).await;
    let address = SocketAddr::from((site.nodes[0].ip, 8_080));
    let mut slow = TcpStream::connect(address).await.unwrap();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: {address}\r\ncontent-length: 100\r\n\r\n{{"
    );
    slow.write_all(head.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    let read = slow.read_to_end(&mut answer);
    let read = tokio::time::timeout(Duration::from_secs(30), read).await;
    read.expect("the connection is closed").unwrap();
    let answer = String::from_utf8_lossy(&answer).into_owned();
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains("\"receive_timeout\"") && answer.contains("\"not_run\""));

    let url = site.caller_url(0, "/v1/chat/completions");
    let body = json!({ "model": MODEL, "messages": ["x".repeat(4_096)] }).to_string();
    let large = site
        .client()
        .call(Method::POST, &url, &[], body)
        .await
        .unwrap();
    assert_eq!(large.status, StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(
        error_of(&large),
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
        error_of(&large),
        ("headers_too_large".into(), "not_run".into())
    );
    site.shut_down().await;
}
