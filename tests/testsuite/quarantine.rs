//! A request that crashes what runs it is stopped before it takes a third group.

use cuminlb_standins::EngineOptions;
use cuminlb_test_support::{HttpResponse, ModelPlan, Site, SiteBuilder};
use cuminlb_types::Millis;
use http::{Method, StatusCode};
use serde_json::json;

const MODEL: &str = "oar-assist";
const GROUPS: usize = 4;

/// Starts two nodes before engines that crash on the word `poison`.
async fn site() -> Site {
    let engine = EngineOptions {
        first_token_ms: Millis(300),
        ..EngineOptions::default()
    };
    let site = SiteBuilder::default()
        .nodes(2)
        .model(ModelPlan::new(MODEL, GROUPS as u32, 1).engine(engine))
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

async fn ask(site: &Site, node: usize, words: &str) -> HttpResponse {
    let body = json!({
        "model": MODEL,
        "max_tokens": 4,
        "messages": [{ "role": "user", "content": words }],
    });
    let url = site.caller_url(node, "/v1/chat/completions");
    let authorization = format!("Bearer {}", site.api_key());
    let headers = [("authorization", authorization.as_str())];
    site.client()
        .call(Method::POST, &url, &headers, body.to_string())
        .await
        .unwrap()
}

fn crashed(site: &mut Site) -> usize {
    let engines = site.upstreams.iter_mut();
    engines
        .filter_map(|engine| engine.process.has_ended().then_some(()))
        .count()
}

fn code(answer: &HttpResponse) -> String {
    answer.json()["error"]["code"]
        .as_str()
        .unwrap_or("")
        .to_owned()
}

#[tokio::test]
async fn crashing_request_is_stopped_and_its_neighbours_are_not() {
    let mut site = site().await;
    let neighbours: Vec<String> = (0..8).map(|number| format!("neighbour {number}")).collect();
    let asked = neighbours
        .iter()
        .enumerate()
        .map(|(number, words)| ask(&site, number % 2, words));
    let (poisoned, answers) = tokio::join!(
        ask(&site, 0, "poison"),
        futures_util::future::join_all(asked),
    );
    assert_eq!(code(&poisoned), "quarantined", "{}", poisoned.text());
    assert_eq!(poisoned.json()["error"]["run_state"], "unknown");
    for answer in &answers {
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
    }
    for node in [1, 0, 1] {
        let repeat = ask(&site, node, "poison").await;
        assert_eq!(repeat.status, StatusCode::UNPROCESSABLE_ENTITY);
        assert_eq!(code(&repeat), "quarantined");
        assert_eq!(repeat.json()["error"]["run_state"], "not_run");
        let asked = neighbours.iter().map(|words| ask(&site, node, words));
        for answer in futures_util::future::join_all(asked).await {
            assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
        }
    }
    assert_eq!(crashed(&mut site), 2, "the third group was not taken");
    site.shut_down().await;
}
