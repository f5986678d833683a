//! Tests of complete requests from the caller to the upstream through every node, and of refusals.

use cuminlb_test_support::{ModelPlan, PlainPlan, SiteBuilder};
use http::{Method, StatusCode};
use serde_json::json;

/// Returns the body that the stand-in engine streams.
fn expected_stream(request_id: &str, model: &str, tokens: u64) -> String {
    let chunks = (0..tokens).map(|index| {
        let chunk = json!({
            "id": request_id,
            "object": "chat.completion.chunk",
            "model": model,
            "choices": [{ "index": 0, "delta": { "content": format!("token{index} ") } }],
        });
        format!("data: {chunk}\n\n")
    });
    chunks.chain(["data: [DONE]\n\n".to_owned()]).collect()
}

#[tokio::test]
async fn complete_responses_come_through_each_node() {
    let site = SiteBuilder::default()
        .nodes(2)
        .model(ModelPlan::new("oar-assist", 2, 2))
        .plain(PlainPlan::new("boat-desk", 2))
        .start_serving()
        .await
        .unwrap();
    for node in 0..2 {
        let response = site.chat(node, "oar-assist", true, 12).await.unwrap();
        assert_eq!(response.status, StatusCode::OK);
        assert_eq!(response.headers["content-type"], "text/event-stream");
        let request_id = response.headers["x-request-id"].to_str().unwrap();
        assert_eq!(
            response.text(),
            expected_stream(request_id, "oar-assist", 12)
        );

        let buffered = site.chat(node, "oar-assist", false, 3).await.unwrap();
        let content = &buffered.json()["choices"][0]["message"]["content"];
        assert_eq!(content, "token0 token1 token2 ");

        let path = "/boat-desk/reservations";
        let booked = site
            .call_plain(node, Method::POST, path, None, "{\"hull\":7}")
            .await
            .unwrap();
        assert_eq!(booked.status, StatusCode::CREATED);
        assert_eq!(booked.json()["confirmed"], true);
    }
    let statuses = [site.status(0).await.unwrap(), site.status(1).await.unwrap()];
    assert_eq!(statuses[0].config, statuses[1].config);
    site.shut_down().await;
}

#[tokio::test]
async fn refusals_carry_a_code_and_a_run_state() {
    let site = SiteBuilder::default()
        .nodes(1)
        .model(ModelPlan::new("oar-assist", 1, 1))
        .start_serving()
        .await
        .unwrap();
    let refused = site.chat(0, "no-such-model", false, 1).await.unwrap();
    assert_eq!(refused.status, StatusCode::NOT_FOUND);
    assert_eq!(refused.json()["error"]["code"], "unknown_service");
    assert_eq!(refused.json()["error"]["run_state"], "not_run");

    let url = site.caller_url(0, "/v1/chat/completions");
    let body = json!({ "model": "oar-assist", "messages": [] }).to_string();
    let refused = site
        .client()
        .call(Method::POST, &url, &[], body)
        .await
        .unwrap();
    assert_eq!(refused.status, StatusCode::UNAUTHORIZED);

    let refused = site
        .client()
        .call(Method::POST, &url, &[], "{")
        .await
        .unwrap();
    assert_eq!(refused.status, StatusCode::BAD_REQUEST);
    assert_eq!(refused.json()["error"]["code"], "bad_request");
    site.shut_down().await;
}
