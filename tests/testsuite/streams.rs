//! Tests that a streamed response is complete and belongs to its request, or ends with a refusal
//! that states whether the request may have run.

use std::collections::HashSet;

use cuminlb_standins::{EngineOptions, Fault};
use cuminlb_test_support::{HttpResponse, ModelPlan, Site, SiteBuilder, wait_until};
use cuminlb_types::Millis;
use http::{Method, StatusCode};
use serde_json::{Value, json};

const MODEL: &str = "oar-assist";

/// Starts a site of one node and `engines` groups of one engine each.
async fn start_site(engines: u32, resumable: bool, engine: EngineOptions) -> Site {
    let mut model = ModelPlan::new(MODEL, engines, 1).engine(engine);
    model.resumable = resumable;
    SiteBuilder::default()
        .nodes(1)
        .model(model)
        .settings("[limits]\nstream_idle = \"600ms\"\n")
        .start_serving()
        .await
        .unwrap()
}

/// Injects a fault into every engine.
async fn set_faults(site: &Site, fault: Fault) {
    for upstream in 0..site.upstreams.len() {
        site.set_upstream_fault(upstream, fault).await.unwrap();
    }
}

/// Returns the concatenated chunk texts and whether the end marker was received.
fn read_stream(response: &HttpResponse) -> (String, bool) {
    let text = response.text();
    assert!(
        text.is_empty() || text.ends_with("\n\n"),
        "the last event is incomplete: {text:?}"
    );
    let mut tokens = String::new();
    let mut done = false;
    for event in text.split_terminator("\n\n") {
        assert!(!done, "an event follows the end marker");
        let data = event.strip_prefix("data: ").unwrap();
        if data == "[DONE]" {
            done = true;
            continue;
        }
        let chunk: Value = serde_json::from_str(data).unwrap();
        tokens += chunk["choices"][0]["delta"]["content"]
            .as_str()
            .unwrap_or("");
    }
    (tokens, done)
}

fn token_text(count: u64) -> String {
    (0..count).map(|index| format!("token{index} ")).collect()
}

/// Returns the refusal in the last event of a stream.
fn last_refusal(response: &HttpResponse) -> Value {
    let text = response.text();
    let last = text.trim_end().rsplit("\n\n").next().unwrap_or("");
    serde_json::from_str(last.strip_prefix("data: ").unwrap_or("")).unwrap_or_default()
}

/// Runs a stream at an engine with a fault; the other engines lose the fault once it has started.
async fn stream_with_fault(site: &Site, fault: Fault, count: u64) -> HttpResponse {
    set_faults(site, fault).await;
    let clear_other_faults = async {
        wait_until("a stream has started", async || {
            running_requests(site).await > 0
        })
        .await
        .unwrap();
        // Only the engine that runs the stream keeps the fault, so a retry elsewhere can succeed.
        for upstream in 0..site.upstreams.len() {
            if running_requests_at(site, upstream).await == 0 {
                site.set_upstream_fault(upstream, Fault::None)
                    .await
                    .unwrap();
            }
        }
    };
    let (response, ()) = tokio::join!(site.chat(0, MODEL, true, count), clear_other_faults);
    response.unwrap()
}

async fn running_requests_at(site: &Site, upstream: usize) -> u64 {
    let response = site
        .call_upstream(upstream, Method::GET, "/control/running")
        .await
        .unwrap();
    response.json().as_array().map_or(0, |ids| ids.len() as u64)
}

async fn running_requests(site: &Site) -> u64 {
    let mut sum = 0;
    for upstream in 0..site.upstreams.len() {
        sum += running_requests_at(site, upstream).await;
    }
    sum
}

fn slow_engine() -> EngineOptions {
    EngineOptions {
        first_token_ms: Millis(50),
        token_gap_ms: Millis(50),
        ..EngineOptions::default()
    }
}

#[tokio::test]
async fn broken_stream_resumes_elsewhere_without_lost_or_repeated_tokens() {
    let site = start_site(2, true, slow_engine()).await;
    for fault in [
        Fault::BreakStreams { after_chunks: 10 },
        Fault::SilenceStreams { after_chunks: 10 },
        Fault::BreakStreams { after_chunks: 0 },
    ] {
        let response = stream_with_fault(&site, fault, 20).await;
        assert_eq!(
            read_stream(&response),
            (token_text(20), true),
            "{fault:?}: {}",
            response.text()
        );
    }
    site.shut_down().await;
}

#[tokio::test]
async fn non_resumable_stream_ends_with_run_state_unknown() {
    let site = start_site(2, false, slow_engine()).await;
    for fault in [
        Fault::BreakStreams { after_chunks: 10 },
        Fault::SilenceStreams { after_chunks: 10 },
    ] {
        let response = stream_with_fault(&site, fault, 20).await;
        assert_eq!(read_stream(&response), (token_text(10), false), "{fault:?}");
        let refusal = last_refusal(&response);
        assert_eq!(refusal["error"]["run_state"], "unknown", "{refusal}");
        assert_eq!(refusal["error"]["code"], "upstream_failed");
    }
    let fault = Fault::BreakStreams { after_chunks: 0 };
    let response = stream_with_fault(&site, fault, 20).await;
    let complete = (token_text(20), true);
    assert_eq!(
        read_stream(&response),
        complete,
        "nothing was forwarded, so the request is retried"
    );
    site.shut_down().await;
}

#[tokio::test]
async fn slow_responses_are_not_aborted() {
    let engine = EngineOptions {
        first_token_ms: Millis(500),
        token_gap_ms: Millis(400),
        ..EngineOptions::default()
    };
    let site = start_site(1, false, engine).await;
    let (stream, buffered) = tokio::join!(
        site.chat(0, MODEL, true, 5),
        // The buffered response takes far longer than the idle timeout of a stream.
        site.chat(0, MODEL, false, 5),
    );
    assert_eq!(read_stream(&stream.unwrap()), (token_text(5), true));
    let buffered = buffered.unwrap();
    assert_eq!(
        buffered.json()["choices"][0]["message"]["content"],
        token_text(5)
    );
    site.shut_down().await;
}

#[tokio::test]
async fn responses_with_wrong_request_ids_are_not_forwarded() {
    let site = start_site(1, false, EngineOptions::default()).await;
    set_faults(&site, Fault::WrongIds).await;
    for stream in [true, false] {
        let response = site.chat(0, MODEL, stream, 5).await.unwrap();
        assert!(!response.text().contains("token"), "{}", response.text());
        let refusal = last_refusal(&response);
        let refusal = if stream { refusal } else { response.json() };
        assert_eq!(refusal["error"]["run_state"], "unknown", "{refusal}");
    }
    set_faults(&site, Fault::None).await;
    let calls = (0..30).map(|call| site.chat(0, MODEL, true, 1 + call % 7));
    let responses = futures_util::future::join_all(calls).await;
    let mut ids = HashSet::new();
    for (call, response) in responses.into_iter().enumerate() {
        let response = response.unwrap();
        let id = response.headers["x-request-id"]
            .to_str()
            .unwrap()
            .to_owned();
        let count = 1 + call as u64 % 7;
        assert_eq!(response.text().matches(&id).count() as u64, count);
        assert_eq!(read_stream(&response), (token_text(count), true));
        assert!(ids.insert(id));
    }
    site.shut_down().await;
}

#[tokio::test]
async fn engine_cancels_the_request_when_the_caller_disconnects() {
    let site = start_site(1, false, slow_engine()).await;
    let call = site.chat(0, MODEL, true, 10_000);
    let started = wait_until("the stream has started", async || {
        running_requests(&site).await == 1
    });
    tokio::select! {
        response = call => panic!("the stream ended: {response:?}"),
        started = started => started.unwrap(),
    }
    wait_until("the engine has canceled the request", async || {
        running_requests(&site).await == 0
    })
    .await
    .unwrap();
    site.shut_down().await;
}

#[tokio::test]
async fn request_past_its_deadline_ends_with_run_state_unknown() {
    let site = start_site(1, false, slow_engine()).await;
    let body = json!({ "model": MODEL, "stream": true, "max_tokens": 10_000, "messages": [] });
    let url = site.caller_url(0, "/v1/chat/completions");
    let authorization = format!("Bearer {}", site.api_key());
    let headers = [
        ("authorization", authorization.as_str()),
        ("x-timeout-ms", "700"),
    ];
    let response = site
        .client()
        .call(Method::POST, &url, &headers, body.to_string())
        .await
        .unwrap();
    assert_eq!(response.status, StatusCode::OK);
    let refusal = last_refusal(&response);
    assert_eq!(refusal["error"]["code"], "deadline_exceeded", "{refusal}");
    assert_eq!(refusal["error"]["run_state"], "unknown");
    wait_until("the engine has canceled the request", async || {
        running_requests(&site).await == 0
    })
    .await
    .unwrap();
    site.shut_down().await;
}
