//! Tests that non-idempotent calls run at most once under failures, and that refusals of them state
//! the true run state.

use cuminlb_standins::{Fault, PlainOptions, Reservation};
use cuminlb_test_support::{HttpResponse, PlainPlan, Site, SiteBuilder, wait_until};
use cuminlb_types::Millis;
use http::{Method, StatusCode};
use nix::sys::signal::Signal;

const PATH: &str = "/boat-desk/reservations";

/// Starts a site of two nodes and one worker whose calls take `call_ms`.
async fn start_site(call_ms: u64, extra: &str) -> Site {
    let mut plain = PlainPlan::new("boat-desk", 1);
    plain.options = PlainOptions {
        call_ms: Millis(call_ms),
    };
    SiteBuilder::default()
        .nodes(2)
        .plain(plain)
        .settings(extra)
        .start_serving()
        .await
        .unwrap()
}

async fn reserve(site: &Site, node: usize, key: Option<&str>, body: &str) -> HttpResponse {
    site.call_plain(node, Method::POST, PATH, key, body)
        .await
        .unwrap()
}

async fn executed_calls(site: &Site) -> Vec<Reservation> {
    let response = site
        .call_upstream(0, Method::GET, "/control/executed")
        .await
        .unwrap();
    serde_json::from_slice(&response.body).unwrap()
}

fn code(response: &HttpResponse) -> String {
    response.json()["error"]["code"]
        .as_str()
        .unwrap_or("")
        .to_owned()
}

fn run_state(response: &HttpResponse) -> String {
    let state = response.json()["error"]["run_state"].clone();
    state.as_str().unwrap_or("").to_owned()
}

#[tokio::test]
async fn duplicate_gets_the_recorded_response_at_each_node() {
    let site = start_site(5, "").await;
    let first = reserve(&site, 0, Some("hull-7"), "{\"hull\":7}").await;
    assert_eq!(first.status, StatusCode::CREATED);
    for node in [0, 1, 1, 0] {
        let duplicate = reserve(&site, node, Some("hull-7"), "{\"hull\":7}").await;
        assert_eq!(duplicate.status, first.status);
        assert_eq!(duplicate.body, first.body);
        assert_eq!(
            duplicate.headers["content-type"],
            first.headers["content-type"]
        );
        assert_eq!(duplicate.headers["idempotency-replayed"], "true");
    }
    let other = reserve(&site, 1, Some("hull-7"), "{\"hull\":8}").await;
    assert_eq!(other.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(
        (code(&other), run_state(&other)),
        ("key_reused".into(), "not_run".into())
    );
    assert_eq!(executed_calls(&site).await.len(), 1);

    let url = site.caller_url(1, PATH);
    let headers = [
        ("authorization", "Bearer key-of-lami-juniors"),
        ("idempotency-key", "hull-7"),
    ];
    let other_team = site
        .client()
        .call(Method::POST, &url, &headers, "{\"hull\":7}")
        .await
        .unwrap();
    assert_eq!(
        other_team.json()["reservation"],
        2,
        "idempotency keys are separate for each team"
    );
    site.shut_down().await;
}

#[tokio::test]
async fn concurrent_calls_with_one_key_run_once() {
    let site = start_site(100, "").await;
    for round in 0..5 {
        let key = format!("race-{round}");
        let body = format!("{{\"hull\":{round}}}");
        let calls = (0..6).map(|caller| reserve(&site, caller % 2, Some(&key), &body));
        let responses = futures_util::future::join_all(calls).await;
        let created: Vec<&HttpResponse> = responses
            .iter()
            .filter(|response| response.status == StatusCode::CREATED)
            .collect();
        assert!(!created.is_empty());
        assert!(
            created
                .iter()
                .all(|response| response.body == created[0].body)
        );
        for refused in responses
            .iter()
            .filter(|response| response.status != StatusCode::CREATED)
        {
            assert_eq!(code(refused), "claimed_elsewhere");
            assert_eq!(run_state(refused), "unknown");
        }
        assert_eq!(executed_calls(&site).await.len(), round + 1);
    }
    site.shut_down().await;
}

#[tokio::test]
async fn call_with_a_lost_response_is_unknown_and_not_resent() {
    let site = start_site(5, "[limits]\nrequest_timeout = \"1500ms\"\n").await;
    site.set_upstream_fault(0, Fault::AnswerLost).await.unwrap();
    let first = reserve(&site, 0, Some("hull-9"), "{\"hull\":9}").await;
    assert_eq!(code(&first), "deadline_exceeded");
    assert_eq!(run_state(&first), "unknown");
    site.set_upstream_fault(0, Fault::None).await.unwrap();
    for node in [0, 1] {
        let duplicate = reserve(&site, node, Some("hull-9"), "{\"hull\":9}").await;
        assert_eq!(code(&duplicate), "outcome_unknown");
        assert_eq!(run_state(&duplicate), "unknown");
    }
    assert_eq!(executed_calls(&site).await.len(), 1);
    site.shut_down().await;
}

#[tokio::test]
async fn call_without_a_written_claim_is_refused_as_not_run() {
    let site = start_site(5, "").await;
    for (round, fault) in [Fault::AnswerLost, Fault::Paused, Fault::Refusing]
        .into_iter()
        .enumerate()
    {
        let key = format!("claim-{round}");
        site.set_platform_fault(fault).await.unwrap();
        let refused = reserve(&site, 0, Some(&key), "{}").await;
        assert_eq!(
            run_state(&refused),
            "not_run",
            "{fault:?}: {}",
            refused.text()
        );
        assert_eq!(executed_calls(&site).await.len(), round);
        site.set_platform_fault(Fault::None).await.unwrap();
        wait_until("the key can be claimed", async || {
            let duplicate = reserve(&site, 1, Some(&key), "{}").await;
            duplicate.status == StatusCode::CREATED
        })
        .await
        .unwrap();
        assert_eq!(executed_calls(&site).await.len(), round + 1);
    }
    site.shut_down().await;
}

#[tokio::test]
async fn duplicate_after_the_sender_was_killed_is_not_sent() {
    let mut site = start_site(1_500, "").await;
    let url = site.caller_url(0, PATH);
    let client = site.client().clone();
    let call = tokio::spawn(async move {
        let headers = [
            ("authorization", "Bearer key-of-suva-rowing"),
            ("idempotency-key", "hull-5"),
        ];
        client
            .call(Method::POST, &url, &headers, "{\"hull\":5}")
            .await
    });
    wait_until("the worker is running the call", async || {
        let running = site
            .call_upstream(0, Method::GET, "/control/running")
            .await
            .unwrap();
        running.json().as_array().is_some_and(|ids| ids.len() == 1)
    })
    .await
    .unwrap();
    let duplicate = reserve(&site, 1, Some("hull-5"), "{\"hull\":5}").await;
    assert_eq!(code(&duplicate), "claimed_elsewhere");
    site.nodes[0].process.signal(Signal::SIGKILL);
    site.nodes[0].process.wait().await.unwrap();
    assert!(call.await.unwrap().is_err());
    site.restart_node(0).unwrap();
    wait_until("the sender counts as ended", async || {
        let duplicate = reserve(&site, 1, Some("hull-5"), "{\"hull\":5}").await;
        assert_eq!(run_state(&duplicate), "unknown");
        code(&duplicate) == "outcome_unknown"
    })
    .await
    .unwrap();
    assert!(executed_calls(&site).await.len() <= 1);
    site.shut_down().await;
}

#[tokio::test]
async fn response_is_recorded_after_the_caller_disconnected() {
    let site = start_site(500, "").await;
    let call = reserve(&site, 0, Some("hull-3"), "{\"hull\":3}");
    let left = tokio::time::timeout(std::time::Duration::from_millis(200), call).await;
    assert!(left.is_err(), "the caller disconnected before the response");
    wait_until("the response is recorded", async || {
        let duplicate = reserve(&site, 1, Some("hull-3"), "{\"hull\":3}").await;
        duplicate.status == StatusCode::CREATED
    })
    .await
    .unwrap();
    assert_eq!(executed_calls(&site).await.len(), 1);
    site.shut_down().await;
}
