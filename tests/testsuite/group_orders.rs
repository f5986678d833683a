//! Tests of stale orders to engines that check or ignore fencing numbers, and of leaving members.

use cuminlb_caller::GroupStatus;
use cuminlb_events::{DissolveCause, EventKind};
use cuminlb_standins::EngineOptions;
use cuminlb_test_support::{ModelPlan, Site, wait_until};
use cuminlb_types::prelude::*;
use http::{Method, StatusCode};
use serde_json::json;

use crate::fleet_support::{
    MODEL, dissolve_cause, events, is_serving, model_plan, sent_times, start_site, wait_groups,
    wait_repaired,
};

fn stale_order(group: &GroupStatus) -> String {
    let order = json!({
        "fencing": 1,
        "kind": { "join": {
            "membership": { "group": "oar-assist-old", "epoch": group.epoch.get() - 1 },
            "members": [],
        }},
    });
    order.to_string()
}

async fn send_stale_order(site: &Site, group: &GroupStatus) -> StatusCode {
    let index = site.upstream_index(&group.members[1]).unwrap();
    let address = site.upstreams[index].record.address;
    let url = format!("http://{address}/control/order");
    let response = site
        .client()
        .call(Method::POST, &url, &[], stale_order(group))
        .await;
    response.unwrap().status
}

#[tokio::test]
async fn an_engine_that_checks_fencing_numbers_refuses_a_stale_order() {
    let (site, group) = start_site(model_plan(1, 2, 0)).await;
    let status = send_stale_order(&site, &group).await;
    assert_eq!(status, StatusCode::PRECONDITION_FAILED);
    let response = site.chat(0, MODEL, false, 2).await.unwrap();
    assert_eq!(response.status, StatusCode::OK);
    site.shut_down().await;
}

#[tokio::test]
async fn a_member_that_executed_a_stale_order_is_restored() {
    let mut plan = model_plan(1, 2, 0);
    plan.engine = EngineOptions {
        checks_fencing: false,
        ..plan.engine
    };
    let (site, group) = start_site(plan).await;
    let index = site.upstream_index(&group.members[1]).unwrap();
    let status = send_stale_order(&site, &group).await;
    assert_eq!(
        status,
        StatusCode::OK,
        "the engine executes the stale order"
    );
    let membership = async || {
        let response = site
            .call_upstream(index, Method::GET, "/control/report")
            .await;
        response.unwrap().json()["membership"]["group"].clone()
    };
    wait_until("the owner has restored the membership", async || {
        membership().await == json!(group.id)
    })
    .await
    .unwrap();
    let found = wait_groups(&site, "the group serves", |found| {
        found.iter().any(is_serving)
    })
    .await;
    assert_eq!(found[0].epoch, group.epoch);
    site.shut_down().await;
}

#[tokio::test]
async fn a_leaving_member_finishes_its_streams_before_it_is_released() {
    let engine = EngineOptions {
        cold_start_ms: Millis(100),
        token_gap_ms: Millis(20),
        ..EngineOptions::default()
    };
    let plan = ModelPlan::new(MODEL, 1, 2).spares(1).engine(engine);
    let (mut site, group) = start_site(plan).await;
    let tokens = 400;
    let leaving = group.members[0].clone();
    let index = site.upstream_index(&leaving).unwrap();
    let client = site.client().clone();
    let url = site.caller_url(0, "/v1/chat/completions");
    let authorization = format!("Bearer {}", site.api_key());
    let stream = tokio::spawn(async move {
        let body = json!({
            "model": MODEL, "stream": true, "max_tokens": tokens, "messages": [],
        });
        let headers = [("authorization", authorization.as_str())];
        let response = client
            .call(Method::POST, &url, &headers, body.to_string())
            .await;
        (response.unwrap(), UnixMillis::now())
    });
    wait_until("the stream is in flight", async || {
        !sent_times(&site, &group.id, group.epoch).await.is_empty()
    })
    .await
    .unwrap();
    site.mark_leaving(index).await.unwrap();
    let after = wait_repaired(&site, &group).await;
    assert!(!after.members.contains(&leaving));
    let (response, ended_at) = stream.await.unwrap();
    assert_eq!(response.status, StatusCode::OK);
    let text = response.text();
    assert_eq!(text.matches("chat.completion.chunk").count(), tokens);
    assert!(text.ends_with("data: [DONE]\n\n"));
    let events = events(&site).await;
    let instance = leaving;
    assert_eq!(
        dissolve_cause(&events, &group),
        Some(DissolveCause::MemberLeaving { instance })
    );
    let formed = events.iter().find(|event| {
        matches!(&event.kind, EventKind::GroupFormed { epoch, .. } if *epoch == after.epoch)
    });
    let formed_at = formed.unwrap().time.wall_ms;
    assert!(formed_at >= ended_at || ended_at.get() - formed_at.get() < 100);
    assert_eq!(sent_times(&site, &group.id, group.epoch).await.len(), 1);
    site.shut_down().await;
}
