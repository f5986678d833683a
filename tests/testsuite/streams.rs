//! Streamed answers come whole and to their own request, or end with the truth.

use std::collections::HashSet;

use cuminlb_standins::{EngineOptions, Fault};
use cuminlb_test_support::{HttpResponse, ModelPlan, Site, SiteBuilder, wait_until};
use cuminlb_types::Millis;
use http::{Method, StatusCode};
use serde_json::{Value, json};

const MODEL: &str = "oar-assist";

/// Starts one node before engines that are groups of their own.
async fn site(engines: u32, resumable: bool, engine: EngineOptions) -> Site {
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

/// Sets a fault at every engine.
async fn set_faults(site: &Site, fault: Fault) {
    for upstream in 0..site.upstreams.len() {
        site.set_upstream_fault(upstream, fault).await.unwrap();
    }
}

/// Returns the texts of the chunks and whether the end marker came.
fn read_stream(answer: &HttpResponse) -> (String, bool) {
    let text = answer.text();
    assert!(
        text.is_empty() || text.ends_with("\n\n"),
        "no half event: {text:?}"
    );
    let mut tokens = String::new();
    let mut done = false;
    for event in text.split_terminator("\n\n") {
        assert!(!done, "nothing after the end marker");
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

fn tokens(count: u64) -> String {
    (0..count).map(|index| format!("token{index} ")).collect()
}

/// Returns the refusal that ends a stream.
fn last_refusal(answer: &HttpResponse) -> Value {
    let text = answer.text();
    let last = text.trim_end().rsplit("\n\n").next().unwrap_or("");
    serde_json::from_str(last.strip_prefix("data: ").unwrap_or("")).unwrap_or_default()
}

/// Switches the fault of the engine that runs the stream after it has begun.
async fn stream_with_fault(site: &Site, fault: Fault, count: u64) -> HttpResponse {
    set_faults(site, fault).await;
    let heal = async {
        wait_until("a stream has begun", async || running(site).await > 0)
            .await
            .unwrap();
        // The engine that has the stream keeps its fault, the others lose theirs.
        for upstream in 0..site.upstreams.len() {
            if running_at(site, upstream).await == 0 {
                site.set_upstream_fault(upstream, Fault::None)
                    .await
                    .unwrap();
            }
        }
    };
    let (answer, ()) = tokio::join!(site.chat(0, MODEL, true, count), heal);
    answer.unwrap()
}

async fn running_at(site: &Site, upstream: usize) -> u64 {
    let answer = site
        .call_upstream(upstream, Method::GET, "/control/running")
        .await
        .unwrap();
    answer.json().as_array().map_or(0, |ids| ids.len() as u64)
}

async fn running(site: &Site) -> u64 {
    let mut sum = 0;
    for upstream in 0..site.upstreams.len() {
        sum += running_at(site, upstream).await;
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
async fn broken_stream_goes_on_elsewhere_without_lost_or_repeated_tokens() {
    let site = site(2, true, slow_engine()).await;
    for fault in [
        Fault::BreakStreams { after_chunks: 10 },
        Fault::SilenceStreams { after_chunks: 10 },
        Fault::BreakStreams { after_chunks: 0 },
    ] {
        let answer = stream_with_fault(&site, fault, 20).await;
        assert_eq!(
            read_stream(&answer),
            (tokens(20), true),
            "{fault:?}: {}",
            answer.text()
        );
    }
    site.shut_down().await;
}

#[tokio::test]
async fn stream_that_cant_be_resumed_ends_with_unknown() {
    let site = site(2, false, slow_engine()).await;
    for fault in [
        Fault::BreakStreams { after_chunks: 10 },
        Fault::SilenceStreams { after_chunks: 10 },
    ] {
        let answer = stream_with_fault(&site, fault, 20).await;
        assert_eq!(read_stream(&answer), (tokens(10), false), "{fault:?}");
        let refusal = last_refusal(&answer);
        assert_eq!(refusal["error"]["run_state"], "unknown", "{refusal}");
        assert_eq!(refusal["error"]["code"], "upstream_failed");
    }
    let fault = Fault::BreakStreams { after_chunks: 0 };
    let answer = stream_with_fault(&site, fault, 20).await;
    let whole = (tokens(20), true);
    assert_eq!(
        read_stream(&answer),
        whole,
        "nothing was passed on, so it is tried again"
    );
    site.shut_down().await;
}

#[tokio::test]
async fn slow_but_living_answers_are_left_alone() {
    let engine = EngineOptions {
        first_token_ms: Millis(500),
        token_gap_ms: Millis(400),
        ..EngineOptions::default()
    };
    let site = site(1, false, engine).await;
    let (stream, whole) = tokio::join!(
        site.chat(0, MODEL, true, 5),
        // The whole answer takes far longer than a stream may be silent.
        site.chat(0, MODEL, false, 5),
    );
    assert_eq!(read_stream(&stream.unwrap()), (tokens(5), true));
    let whole = whole.unwrap();
    assert_eq!(whole.json()["choices"][0]["message"]["content"], tokens(5));
    site.shut_down().await;
}

#[tokio::test]
async fn answers_to_other_requests_are_not_passed_on() {
    let site = site(1, false, EngineOptions::default()).await;
    set_faults(&site, Fault::WrongIds).await;
    for stream in [true, false] {
        let answer = site.chat(0, MODEL, stream, 5).await.unwrap();
        assert!(!answer.text().contains("token"), "{}", answer.text());
        let refusal = last_refusal(&answer);
        let refusal = if stream { refusal } else { answer.json() };
        assert_eq!(refusal["error"]["run_state"], "unknown", "{refusal}");
    }
    set_faults(&site, Fault::None).await;
    let calls = (0..30).map(|call| site.chat(0, MODEL, true, 1 + call % 7));
    let answers = futures_util::future::join_all(calls).await;
    let mut ids = HashSet::new();
    for (call, answer) in answers.into_iter().enumerate() {
        let answer = answer.unwrap();
        let id = answer.headers["x-request-id"].to_str().unwrap().to_owned();
        let count = 1 + call as u64 % 7;
        assert_eq!(answer.text().matches(&id).count() as u64, count);
        assert_eq!(read_stream(&answer), (tokens(count), true));
        assert!(ids.insert(id));
    }
    site.shut_down().await;
}

#[tokio::test]
async fn engine_is_told_when_the_caller_leaves() {
    let site = site(1, false, slow_engine()).await;
    let call = site.chat(0, MODEL, true, 10_000);
    let begun = wait_until("the stream has begun", async || running(&site).await == 1);
    tokio::select! {
        answer = call => panic!("the stream ended: {answer:?}"),
        begun = begun => begun.unwrap(),
    }
    wait_until("the engine has cancelled it", async || {
        running(&site).await == 0
    })
    .await
    .unwrap();
    site.shut_down().await;
}

#[tokio::test]
async fn deadline_ends_a_request_with_the_truth() {
    let site = site(1, false, slow_engine()).await;
    let body = json!({ "model": MODEL, "stream": true, "max_tokens": 10_000, "messages": [] });
    let url = site.caller_url(0, "/v1/chat/completions");
    let authorization = format!("Bearer {}", site.api_key());
    let headers = [
        ("authorization", authorization.as_str()),
        ("x-timeout-ms", "700"),
    ];
    let answer = site
        .client()
        .call(Method::POST, &url, &headers, body.to_string())
        .await
        .unwrap();
    assert_eq!(answer.status, StatusCode::OK);
    let refusal = last_refusal(&answer);
    assert_eq!(refusal["error"]["code"], "deadline_exceeded", "{refusal}");
    assert_eq!(refusal["error"]["run_state"], "unknown");
    wait_until("the engine has cancelled it", async || {
        running(&site).await == 0
    })
    .await
    .unwrap();
    site.shut_down().await;
}
