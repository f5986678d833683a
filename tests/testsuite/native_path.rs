//! Real nodes on the users' platform: the whole path, and what happens when something fails.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cuminlb_test_support::wait_until;
use http::{Method, StatusCode};
use nix::sys::signal::Signal;
use serde_json::json;

use crate::native_site::{HOST, KEY, LOOKUP_PATH, NativeSite, RESERVE_PATH, TEAM, event_ids};

/// The work of a plain request in tests that do not look at it.
const SHORT: Duration = Duration::from_millis(5);

/// The events of a stream that lasts long enough for something to fail meanwhile.
const LONG_STREAM: &str = "200";

#[tokio::test(flavor = "multi_thread")]
async fn streams_and_plain_calls_are_served_with_proof() {
    let site = NativeSite::start(2, 4, SHORT).await;
    site.wait_serving().await;
    for node in 0..2 {
        let answer = site.stream(node, &format!("s{node}"), "20").await.unwrap();
        assert_eq!(answer.status, StatusCode::OK);
        assert_eq!(event_ids(&answer), (1..=20).collect::<Vec<_>>());
        assert_eq!(answer.headers["x-attempt-id"], format!("s{node}"));
        assert!(answer.headers.contains_key("x-response-seal"));
    }
    let answer = site
        .ask(0, Method::POST, RESERVE_PATH, "r1", &[], "{}")
        .await
        .unwrap();
    assert_eq!(answer.status, StatusCode::OK);
    assert!(answer.text().ends_with(TEAM), "{}", answer.text());
    assert_eq!(site.fleet.runs.workers_of("r1").len(), 1);
    site.assert_no_violation();
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_that_the_catalog_does_not_allow_are_refused() {
    let site = NativeSite::start(1, 2, SHORT).await;
    site.wait_serving().await;
    let answer = site
        .ask(0, Method::GET, "/nowhere/", "a1", &[], "")
        .await
        .unwrap();
    assert_eq!(answer.status, StatusCode::NOT_FOUND);
    let url = site.nodes[0].url(LOOKUP_PATH);
    let headers = [
        ("host", HOST),
        ("x-attempt-id", "a2"),
        ("authorization", "Token wrong"),
    ];
    let answer = site
        .client
        .call(Method::GET, &url, &headers, "")
        .await
        .unwrap();
    assert_eq!(answer.status, StatusCode::UNAUTHORIZED);
    let long = "x".repeat(70_000);
    let answer = site
        .ask(0, Method::POST, RESERVE_PATH, "a3", &[], &long)
        .await
        .unwrap();
    assert_eq!(answer.status, StatusCode::PAYLOAD_TOO_LARGE);
    let headers = [("host", HOST), ("authorization", KEY)];
    let answer = site
        .client
        .call(Method::GET, &url, &headers, "")
        .await
        .unwrap();
    assert_eq!(answer.status, StatusCode::BAD_REQUEST);
    assert_eq!(site.fleet.runs.workers_of("a3"), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failed_lookup_runs_once_more_elsewhere_and_a_reservation_never() {
    let site = NativeSite::start(1, 2, SHORT).await;
    site.wait_serving().await;
    site.desk_failures.store(1, Ordering::Relaxed);
    let answer = site
        .ask(0, Method::GET, LOOKUP_PATH, "l1", &[], "")
        .await
        .unwrap();
    assert_eq!(answer.status, StatusCode::OK);
    let mut workers = site.fleet.runs.workers_of("l1");
    workers.sort();
    assert_eq!(workers, ["p0", "p1"]);
    site.desk_failures.store(1, Ordering::Relaxed);
    let answer = site
        .ask(0, Method::POST, RESERVE_PATH, "r1", &[], "")
        .await
        .unwrap();
    assert_eq!(answer.status, StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(site.fleet.runs.workers_of("r1").len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_goes_on_when_a_member_falls_silent() {
    let site = NativeSite::start(2, 5, SHORT).await;
    site.wait_serving().await;
    let streams = async {
        let long = (0..6).map(|number| {
            let site = &site;
            async move {
                site.stream(number % 2, &format!("s{number}"), LONG_STREAM)
                    .await
                    .unwrap()
            }
        });
        futures_util::future::join_all(long).await
    };
    let fault = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        let head = site.open_head().unwrap();
        let member = site.member_beside(&head);
        site.fleet.engine(&member).unwrap().go_dark();
    };
    let (answers, ()) = tokio::join!(streams, fault);
    for (number, answer) in answers.iter().enumerate() {
        assert_eq!(answer.status, StatusCode::OK);
        assert_eq!(
            event_ids(answer),
            (1..=200).collect::<Vec<_>>(),
            "stream {number}"
        );
    }
    site.assert_no_violation();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_group_is_formed_again_when_its_head_falls_silent() {
    let site = NativeSite::start(2, 3, SHORT).await;
    site.wait_serving().await;
    let head = site.open_head().unwrap();
    site.fleet.engine(&head).unwrap().go_dark();
    let answer = async || site.stream(1, "after", "5").await;
    wait_until("another head serves", async || {
        answer()
            .await
            .is_ok_and(|answer| answer.status == StatusCode::OK)
    })
    .await
    .unwrap();
    assert_ne!(site.open_head().unwrap(), head);
    site.assert_no_violation();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_member_whose_entry_vanished_stays_while_it_answers() {
    let site = NativeSite::start(1, 2, SHORT).await;
    site.wait_serving().await;
    let head = site.open_head().unwrap();
    let before = site.fleet.engine(&head).unwrap().place();
    let member = site.member_beside(&head);
    site.fleet.engine(&member).unwrap().lose_entry();
    let end = tokio::time::Instant::now() + Duration::from_secs(2);
    while tokio::time::Instant::now() < end {
        let answer = site.stream(0, "unlisted", "2").await.unwrap();
        assert_eq!(answer.status, StatusCode::OK);
    }
    assert_eq!(site.fleet.engine(&head).unwrap().place(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn another_node_leads_after_the_leader_was_killed() {
    let mut site = NativeSite::start(3, 5, SHORT).await;
    site.wait_serving().await;
    let lease = || site.fleet.rows.get("cuminlb", "lease/leader").unwrap();
    let leader = lease()["holder"].as_str().unwrap().to_owned();
    let index: usize = leader[1..].parse::<usize>().unwrap() - 1;
    site.nodes[index].process.kill().await;
    let head = site.open_head().unwrap();
    let member = site.member_beside(&head);
    site.fleet.engine(&member).unwrap().go_dark();
    let lease = || site.fleet.rows.get("cuminlb", "lease/leader").unwrap();
    wait_until("another node leads", async || {
        lease()["holder"] != leader.as_str()
    })
    .await
    .unwrap();
    let other = (index + 1) % 3;
    wait_until("a group serves again", async || {
        let answer = site.stream(other, "led", "5").await;
        answer.is_ok_and(|answer| answer.status == StatusCode::OK)
    })
    .await
    .unwrap();
    site.assert_no_violation();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_the_store_refuses_learns_a_catalog_from_its_peers() {
    let site = NativeSite::start(3, 2, SHORT).await;
    site.wait_serving().await;
    site.refuse_store(1, true);
    let route = json!({
        "name": "new", "host": HOST, "prefix": "/new/", "kind": "idempotent", "timeoutMs": 2000,
        "targetLatencyMs": 200, "service": crate::native_site::DESK, "maxAttempts": 2,
    });
    site.put_catalog(5, &[route]);
    let start = tokio::time::Instant::now();
    wait_until("the refused node has the route", async || {
        let answer = site.ask(1, Method::GET, "/new/", "n1", &[], "").await;
        answer.is_ok_and(|answer| answer.status == StatusCode::OK)
    })
    .await
    .unwrap();
    assert!(
        start.elapsed() < Duration::from_secs(7),
        "{:?}",
        start.elapsed()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn forgotten_history_is_read_whole() {
    let site = NativeSite::start(1, 2, SHORT).await;
    site.wait_serving().await;
    site.refuse_store(0, true);
    tokio::time::sleep(Duration::from_millis(300)).await;
    site.put_catalog(7, &[]);
    site.fleet.rows.remove("servers", "p0");
    site.fleet.rows.put("op", "other", &json!({}));
    site.fleet.rows.forget_history();
    site.refuse_store(0, false);
    wait_until("the removed worker gets nothing", async || {
        let id = format!("h{}", rand_id());
        let answer = site.ask(0, Method::GET, LOOKUP_PATH, &id, &[], "").await;
        answer.is_ok_and(|answer| answer.text().contains("p1"))
            && site.nodes[0].process.log().contains("\"catalog\":\"7\"")
    })
    .await
    .unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_stops_cuts_off_nothing_and_hands_its_lease_on() {
    let mut site = NativeSite::start(2, 4, Duration::from_millis(2_500)).await;
    site.wait_serving().await;
    let lease = site.fleet.rows.get("cuminlb", "lease/leader").unwrap();
    let index: usize = lease["holder"].as_str().unwrap()[1..]
        .parse::<usize>()
        .unwrap()
        - 1;
    let site_ref = &site;
    let stream = site_ref.stream(index, "s1", LONG_STREAM);
    let reserve = site_ref.ask(index, Method::POST, RESERVE_PATH, "r1", &[], "");
    let stop = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        site_ref.nodes[index].process.signal(Signal::SIGTERM);
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert!(!site_ref.is_ready(&site_ref.nodes[index]).await);
        let late = site_ref.stream(index, "s2", "3").await.unwrap();
        assert_eq!(late.headers["connection"], "close");
        late
    };
    let (stream, reserve, late) = tokio::join!(stream, reserve, stop);
    assert_eq!(event_ids(&stream.unwrap()).len(), 200);
    assert_eq!(reserve.unwrap().status, StatusCode::OK);
    assert_eq!(late.status, StatusCode::OK);
    let status = site.nodes[index].process.wait().await.unwrap();
    assert!(status.success(), "{status}");
    wait_until("the other node leads", async || {
        let lease = site.fleet.rows.get("cuminlb", "lease/leader").unwrap();
        lease["holder"] == format!("n{}", 2 - index)
    })
    .await
    .unwrap();
    site.assert_no_violation();
}

#[tokio::test(flavor = "multi_thread")]
async fn settings_are_read_again_on_a_signal() {
    let site = NativeSite::start(1, 2, SHORT).await;
    site.wait_serving().await;
    site.nodes[0].process.signal(Signal::SIGHUP);
    wait_until("the settings are read again", async || {
        site.nodes[0].process.log().contains("settings read again")
    })
    .await
    .unwrap();
    let answer = site.stream(0, "after", "3").await.unwrap();
    assert_eq!(answer.status, StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_sent_to_a_zone_that_is_out() {
    let site = NativeSite::start(1, 2, SHORT).await;
    site.wait_serving().await;
    site.fleet.rows.put("op", "evacuate/za", &json!({}));
    wait_until("lookups are refused", async || {
        let answer = site.ask(0, Method::GET, LOOKUP_PATH, "z1", &[], "").await;
        answer.is_ok_and(|answer| answer.status == StatusCode::SERVICE_UNAVAILABLE)
    })
    .await
    .unwrap();
    let answer = site
        .ask(0, Method::GET, LOOKUP_PATH, "z2", &[], "")
        .await
        .unwrap();
    assert!(answer.headers.contains_key("retry-after"));
    assert_eq!(site.fleet.runs.workers_of("z2"), Vec::<String>::new());
    site.fleet.rows.remove("op", "evacuate/za");
    wait_until("lookups are served again", async || {
        let answer = site.ask(0, Method::GET, LOOKUP_PATH, "z3", &[], "").await;
        answer.is_ok_and(|answer| answer.status == StatusCode::OK)
    })
    .await
    .unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn all_nodes_lost_at_once_find_the_groups_again() {
    let mut site = NativeSite::start(3, 4, SHORT).await;
    site.wait_serving().await;
    let before = site
        .fleet
        .engine(&site.open_head().unwrap())
        .unwrap()
        .place();
    for node in &mut site.nodes {
        node.process.kill().await;
    }
    for index in 0..3 {
        site.restart_node(index);
    }
    site.wait_serving().await;
    let head = site.open_head().unwrap();
    assert_eq!(site.fleet.engine(&head).unwrap().place(), before);
    let sites = Arc::new(site);
    let answer = sites.stream(2, "again", "10").await.unwrap();
    assert_eq!(event_ids(&answer).len(), 10);
    sites.assert_no_violation();
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_count_requests_by_route_and_outcome() {
    let site = NativeSite::start(1, 2, SHORT).await;
    site.wait_serving().await;
    site.ask(0, Method::GET, LOOKUP_PATH, "m1", &[], "")
        .await
        .unwrap();
    let url = site.nodes[0].metrics_url();
    let answer = site.client.call(Method::GET, &url, &[], "").await.unwrap();
    let text = answer.text();
    for line in [
        "cuminlb_requests_total{route=\"lookup\",outcome=\"200\"} 1",
        "cuminlb_groups_serving 1",
        "cuminlb_leads 1",
        "cuminlb_catalog_version 1",
    ] {
        assert!(text.contains(line), "{line} is not in {text}");
    }
}

/// Three kinds of failed request are found by their ids in the lines of the node's log alone.
#[tokio::test(flavor = "multi_thread")]
async fn the_cause_of_a_failed_request_stands_in_the_log() {
    let site = NativeSite::start(1, 2, SHORT).await;
    site.wait_serving().await;
    let lines_of = |id: &str| -> Vec<serde_json::Value> {
        let log = site.nodes[0].process.log();
        let lines = log
            .lines()
            .filter_map(|line| serde_json::from_str(line).ok());
        let named = format!("\"{id}\"");
        lines
            .filter(|line: &serde_json::Value| line.to_string().contains(&named))
            .collect()
    };
    let has = async |id: &str, what: &str| {
        wait_until("the cause stands in the log", async || {
            lines_of(id)
                .iter()
                .any(|line| line.to_string().contains(what))
        })
        .await
        .unwrap();
    };
    // Refused: nobody may take it.
    site.fleet.rows.put("op", "evacuate/za", &json!({}));
    wait_until("lookups are refused", async || {
        let answer = site.ask(0, Method::GET, LOOKUP_PATH, "c0", &[], "").await;
        answer.is_ok_and(|answer| answer.status == StatusCode::SERVICE_UNAVAILABLE)
    })
    .await
    .unwrap();
    site.ask(0, Method::GET, LOOKUP_PATH, "c1", &[], "")
        .await
        .unwrap();
    has("c1", "no_group").await;
    assert!(site.nodes[0].process.log().contains("zone out"));
    site.fleet.rows.remove("op", "evacuate/za");
    // Failed: its worker answered with a failure.
    wait_until("lookups are served", async || {
        let answer = site.ask(0, Method::GET, LOOKUP_PATH, "c2", &[], "").await;
        answer.is_ok_and(|answer| answer.status == StatusCode::OK)
    })
    .await
    .unwrap();
    site.desk_failures.store(1, Ordering::Relaxed);
    site.ask(0, Method::POST, RESERVE_PATH, "c3", &[], "")
        .await
        .unwrap();
    has("c3", "\"outcome\":\"500\"").await;
    // Cut: the group of its stream lost a member and no other group could go on.
    let stream = site.stream(0, "c4", LONG_STREAM);
    let fault = async {
        tokio::time::sleep(Duration::from_millis(400)).await;
        let head = site.open_head().unwrap();
        let member = site.member_beside(&head);
        site.fleet.engine(&member).unwrap().go_dark();
    };
    let (cut, ()) = tokio::join!(stream, fault);
    assert!(cut.is_err());
    has("c4", "head suspected").await;
    has("c4", "stream ended").await;
}

fn rand_id() -> u64 {
    use std::sync::atomic::AtomicU64;
    static NEXT: AtomicU64 = AtomicU64::new(0);
    NEXT.fetch_add(1, Ordering::Relaxed)
}
