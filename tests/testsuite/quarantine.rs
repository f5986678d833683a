//! Tests that a request that crashes engines is quarantined before it reaches a third group.

use cuminlb_standins::EngineOptions;
use cuminlb_test_support::{HttpResponse, ModelPlan, Site, SiteBuilder};
use cuminlb_types::Millis;
use http::{Method, StatusCode};
use serde_json::json;

const MODEL: &str = "oar-assist";
const GROUP_COUNT: usize = 4;

/// Starts a site of two nodes whose engines crash on a prompt with the word `poison`.
async fn start_site() -> Site {
    let engine = EngineOptions {
        first_token_ms: Millis(300),
        ..EngineOptions::default()
    };
    let site = SiteBuilder::default()
        .nodes(2)
        .model(ModelPlan::new(MODEL, GROUP_COUNT as u32, 1).engine(engine))
        .start_serving()
        .await
        .unwrap();
    for engine in &site.upstreams {
        let url = format!("http://{}/control/crash-on", engine.record.address);
        site.client()
            .call(Method::PUT, &url, &[], "poison")
            .await
            .unwrap();
    }
    site
}

async fn send_prompt(site: &Site, node: usize, prompt: &str) -> HttpResponse {
    let body = json!({
        "model": MODEL,
        "max_tokens": 4,
        "messages": [{ "role": "user", "content": prompt }],
    });
    let url = site.caller_url(node, "/v1/chat/completions");
    let authorization = format!("Bearer {}", site.api_key());
    let headers = [("authorization", authorization.as_str())];
    site.client()
        .call(Method::POST, &url, &headers, body.to_string())
        .await
        .unwrap()
}

fn crashed_engines(site: &mut Site) -> usize {
    let engines = site.upstreams.iter_mut();
    engines
        .filter_map(|engine| engine.process.has_ended().then_some(()))
        .count()
}

/// Returns what the nodes logged about crashes.
fn crash_lines(site: &Site) -> Vec<String> {
    let logs = site.nodes.iter().map(|node| node.process.log());
    let lines: Vec<String> = logs
        .flat_map(|log| log.lines().map(str::to_owned).collect::<Vec<_>>())
        .collect();
    let is_about_crashes = |line: &String| line.contains("crashed") || line.contains("went");
    lines.into_iter().filter(is_about_crashes).collect()
}

fn code(response: &HttpResponse) -> String {
    response.json()["error"]["code"]
        .as_str()
        .unwrap_or("")
        .to_owned()
}

#[tokio::test]
async fn crashing_request_is_quarantined_and_concurrent_requests_are_served() {
    let mut site = start_site().await;
    let other_prompts: Vec<String> = (0..8).map(|number| format!("neighbour {number}")).collect();
    let calls = other_prompts
        .iter()
        .enumerate()
        .map(|(number, prompt)| send_prompt(&site, number % 2, prompt));
    let (crashing, responses) = tokio::join!(
        send_prompt(&site, 0, "poison"),
        futures_util::future::join_all(calls),
    );
    assert_eq!(code(&crashing), "quarantined", "{}", crashing.text());
    assert_eq!(crashing.json()["error"]["run_state"], "unknown");
    for response in &responses {
        assert_eq!(response.status, StatusCode::OK, "{}", response.text());
    }
    for node in [1, 0, 1] {
        let duplicate = send_prompt(&site, node, "poison").await;
        assert_eq!(duplicate.status, StatusCode::UNPROCESSABLE_ENTITY);
        assert_eq!(code(&duplicate), "quarantined");
        assert_eq!(duplicate.json()["error"]["run_state"], "not_run");
        let calls = other_prompts
            .iter()
            .map(|prompt| send_prompt(&site, node, prompt));
        for response in futures_util::future::join_all(calls).await {
            assert_eq!(response.status, StatusCode::OK, "{}", response.text());
        }
    }
    assert_eq!(
        crashed_engines(&mut site),
        2,
        "the request must crash two groups and not reach a third; {:#?}",
        crash_lines(&site)
    );
    site.shut_down().await;
}
