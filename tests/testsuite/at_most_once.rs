//! Non-idempotent calls run at most once, whatever fails, and refusals of them are true.

use cuminlb_standins::{Fault, PlainOptions, Reservation};
use cuminlb_test_support::{HttpResponse, PlainPlan, Site, SiteBuilder, wait_until};
use cuminlb_types::Millis;
use http::{Method, StatusCode};
use nix::sys::signal::Signal;

const PATH: &str = "/boat-desk/reservations";

/// Starts two nodes before one worker whose calls take `call_ms`.
async fn site(call_ms: u64, extra: &str) -> Site {
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

async fn executed(site: &Site) -> Vec<Reservation> {
    let answer = site
        .call_upstream(0, Method::GET, "/control/executed")
        .await
        .unwrap();
    serde_json::from_slice(&answer.body).unwrap()
}

fn code(answer: &HttpResponse) -> String {
    answer.json()["error"]["code"]
        .as_str()
        .unwrap_or("")
        .to_owned()
}

fn run_state(answer: &HttpResponse) -> String {
    let state = answer.json()["error"]["run_state"].clone();
    state.as_str().unwrap_or("").to_owned()
}

#[tokio::test]
async fn repeat_gets_the_recorded_outcome_at_each_node() {
    let site = site(5, "").await;
    let first = reserve(&site, 0, Some("hull-7"), "{\"hull\":7}").await;
    assert_eq!(first.status, StatusCode::CREATED);
    for node in [0, 1, 1, 0] {
        let repeat = reserve(&site, node, Some("hull-7"), "{\"hull\":7}").await;
        assert_eq!(repeat.status, first.status);
        assert_eq!(repeat.body, first.body);
        assert_eq!(
            repeat.headers["content-type"],
            first.headers["content-type"]
        );
        assert_eq!(repeat.headers["idempotency-replayed"], "true");
    }
    let other = reserve(&site, 1, Some("hull-7"), "{\"hull\":8}").await;
    assert_eq!(other.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(
        (code(&other), run_state(&other)),
        ("key_reused".into(), "not_run".into())
    );
    assert_eq!(executed(&site).await.len(), 1);

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
        "another team's key is its own"
    );
    site.shut_down().await;
}

#[tokio::test]
async fn racing_callers_run_a_key_once() {
    let site = site(100, "").await;
    for round in 0..5 {
        let key = format!("race-{round}");
        let body = format!("{{\"hull\":{round}}}");
        let calls = (0..6).map(|caller| reserve(&site, caller % 2, Some(&key), &body));
        let answers = futures_util::future::join_all(calls).await;
        let created: Vec<&HttpResponse> = answers
            .iter()
            .filter(|answer| answer.status == StatusCode::CREATED)
            .collect();
        assert!(!created.is_empty());
        assert!(created.iter().all(|answer| answer.body == created[0].body));
        for refused in answers
            .iter()
            .filter(|answer| answer.status != StatusCode::CREATED)
        {
            assert_eq!(code(refused), "claimed_elsewhere");
            assert_eq!(run_state(refused), "unknown");
        }
        assert_eq!(executed(&site).await.len(), round + 1);
    }
    site.shut_down().await;
}

#[tokio::test]
async fn lost_answer_is_unknown_and_never_sent_again() {
    let site = site(5, "[limits]\nrequest_timeout = \"1500ms\"\n").await;
    site.set_upstream_fault(0, Fault::AnswerLost).await.unwrap();
    let first = reserve(&site, 0, Some("hull-9"), "{\"hull\":9}").await;
    assert_eq!(code(&first), "deadline_exceeded");
    assert_eq!(run_state(&first), "unknown");
    site.set_upstream_fault(0, Fault::None).await.unwrap();
    for node in [0, 1] {
        let repeat = reserve(&site, node, Some("hull-9"), "{\"hull\":9}").await;
        assert_eq!(code(&repeat), "outcome_unknown");
        assert_eq!(run_state(&repeat), "unknown");
    }
    assert_eq!(executed(&site).await.len(), 1);
    site.shut_down().await;
}

#[tokio::test]
async fn refusal_for_an_unwritten_claim_is_true() {
    let site = site(5, "").await;
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
        assert_eq!(executed(&site).await.len(), round);
        site.set_platform_fault(Fault::None).await.unwrap();
        wait_until("the key can be used", async || {
            let repeat = reserve(&site, 1, Some(&key), "{}").await;
            repeat.status == StatusCode::CREATED
        })
        .await
        .unwrap();
        assert_eq!(executed(&site).await.len(), round + 1);
    }
    site.shut_down().await;
}

#[tokio::test]
async fn repeat_after_the_senders_death_is_not_sent() {
    let mut site = site(1_500, "").await;
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
    wait_until("the worker runs the call", async || {
        let running = site
            .call_upstream(0, Method::GET, "/control/running")
            .await
            .unwrap();
        running.json().as_array().is_some_and(|ids| ids.len() == 1)
    })
    .await
    .unwrap();
    let repeat = reserve(&site, 1, Some("hull-5"), "{\"hull\":5}").await;
    assert_eq!(code(&repeat), "claimed_elsewhere");
    site.nodes[0].process.signal(Signal::SIGKILL);
    site.nodes[0].process.wait().await.unwrap();
    assert!(call.await.unwrap().is_err());
    site.restart_node(0).unwrap();
    wait_until("the sender's death is known", async || {
        let repeat = reserve(&site, 1, Some("hull-5"), "{\"hull\":5}").await;
        assert_eq!(run_state(&repeat), "unknown");
        code(&repeat) == "outcome_unknown"
    })
    .await
    .unwrap();
    assert!(executed(&site).await.len() <= 1);
    site.shut_down().await;
}

#[tokio::test]
async fn outcome_is_recorded_when_the_caller_has_left() {
    let site = site(500, "").await;
    let call = reserve(&site, 0, Some("hull-3"), "{\"hull\":3}");
    let left = tokio::time::timeout(std::time::Duration::from_millis(200), call).await;
    assert!(left.is_err(), "the caller has left before the answer");
    wait_until("the outcome is recorded", async || {
        let repeat = reserve(&site, 1, Some("hull-3"), "{\"hull\":3}").await;
        repeat.status == StatusCode::CREATED
    })
    .await
    .unwrap();
    assert_eq!(executed(&site).await.len(), 1);
    site.shut_down().await;
}
