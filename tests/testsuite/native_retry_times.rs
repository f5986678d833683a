//! Tests of nodes on the users' platform: instances that refuse requests for a stated time.

use std::time::Duration;

use http::StatusCode;
use tokio::time::{Instant, sleep};

use crate::answering_site::{
    ANSWERING, LOOKUP, RESERVE, STREAM, answering_site, send, wait_rows_read,
};
use crate::answering_worker::{Answer, AnsweringWorker};
use crate::native_site::NativeSite;

/// The longest time in which a node refuses a request that nobody can serve.
const REFUSAL_TIME: Duration = Duration::from_millis(250);

fn stream_answer() -> Answer {
    let body = "id: 1\ndata: a\n\n";
    Answer::complete(200, "content-type: text/event-stream\r\n", body)
}

/// Returns the `Retry-After` of a response in seconds.
fn retry_after_s(response: &cuminlb_test_support::HttpResponse) -> f64 {
    let value = response.headers["retry-after"].to_str().unwrap();
    value.parse().unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_refuses_with_retry_after_gets_nothing_before_its_end() {
    for status in [503, 429] {
        let site = answering_site(1).await;
        let refuser = AnsweringWorker::start(&site.fleet, "k0", ANSWERING, move |_| {
            Answer::refusal(status, "retry-after: 2.5\r\n")
        })
        .await;
        let _other = AnsweringWorker::start(&site.fleet, "k1", ANSWERING, |_| {
            Answer::complete(200, "", "k1")
        })
        .await;
        wait_rows_read(&site).await;
        let start = Instant::now();
        let mut number = 0;
        while start.elapsed() < Duration::from_millis(2_000) {
            let response = send(&site, LOOKUP, &format!("l{number}")).await.unwrap();
            assert_eq!(response.status, StatusCode::OK);
            number += 1;
            sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(refuser.requests().len(), 1, "status {status}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_refused_at_once_while_all_instances_want_none() {
    let site = answering_site(1).await;
    let refuser = AnsweringWorker::start(&site.fleet, "k0", ANSWERING, |_| {
        Answer::refusal(503, "retry-after: 5\r\n")
    })
    .await;
    wait_rows_read(&site).await;
    for prefix in [LOOKUP, RESERVE, STREAM] {
        let mut earliest = f64::MAX;
        let mut latest = 0.0_f64;
        for number in 0..20 {
            let id = format!("{}{number}", prefix.trim_matches('/'));
            let start = Instant::now();
            let response = send(&site, prefix, &id).await.unwrap();
            let elapsed = start.elapsed();
            assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
            assert!(elapsed < REFUSAL_TIME, "{elapsed:?}");
            let retry_after = retry_after_s(&response);
            assert!(retry_after > 2.0 && retry_after < 7.1, "{retry_after}");
            earliest = earliest.min(retry_after);
            latest = latest.max(retry_after);
        }
        assert!(latest - earliest > 0.3, "{earliest} {latest}");
    }
    assert_eq!(refuser.requests().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_waits_for_an_instance_that_wants_none_for_a_moment() {
    for prefix in [LOOKUP, STREAM] {
        let site = answering_site(1).await;
        let worker = AnsweringWorker::start(&site.fleet, "k0", ANSWERING, move |request| {
            if request.number == 0 {
                Answer::refusal(503, "retry-after: 0.2\r\n")
            } else if prefix == STREAM {
                stream_answer()
            } else {
                Answer::complete(200, "", "k0")
            }
        })
        .await;
        wait_rows_read(&site).await;
        let refused = send(&site, prefix, "refused").await.unwrap();
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE, "{prefix}");
        let response = send(&site, prefix, "served").await.unwrap();
        assert_eq!(response.status, StatusCode::OK, "{prefix}");
        let requests = worker.requests();
        let distance = requests[1].at - requests[0].at;
        assert!(distance >= Duration::from_millis(199), "{distance:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_retry_time_that_is_no_number_is_ignored() {
    let site = answering_site(1).await;
    let worker = AnsweringWorker::start(&site.fleet, "k0", ANSWERING, |request| {
        if request.number == 0 {
            Answer::refusal(503, "retry-after: soon\r\n")
        } else {
            Answer::complete(200, "", "k0")
        }
    })
    .await;
    wait_rows_read(&site).await;
    let refused = send(&site, LOOKUP, "refused").await.unwrap();
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    let response = send(&site, LOOKUP, "served").await.unwrap();
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(worker.requests().len(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_retry_does_not_go_to_an_instance_that_wants_no_requests() {
    let site = answering_site(1).await;
    let refuser = AnsweringWorker::start(&site.fleet, "k0", ANSWERING, |_| {
        Answer::refusal(503, "retry-after: 5\r\n")
    })
    .await;
    let failing = AnsweringWorker::start(&site.fleet, "k1", ANSWERING, |_| {
        Answer::complete(500, "", "failed")
    })
    .await;
    wait_rows_read(&site).await;
    for number in 0..20 {
        let _ = send(&site, LOOKUP, &format!("l{number}")).await;
    }
    assert_eq!(refuser.requests().len(), 1);
    assert!(failing.requests().len() >= 20);
}

#[tokio::test(flavor = "multi_thread")]
async fn groups_that_want_no_requests_get_none_and_streams_are_refused_at_once() {
    let site = NativeSite::start(1, 4, Duration::from_millis(5)).await;
    site.wait_serving().await;
    site.wait_open_groups(2).await;
    let engines: Vec<_> = (0..4)
        .filter_map(|number| site.fleet.engine(&format!("e{number}")))
        .collect();
    for engine in &engines {
        engine.refuse_for(4.0);
    }
    let first = site.stream(0, "first", "1").await.unwrap();
    assert_eq!(first.status, StatusCode::SERVICE_UNAVAILABLE);
    for number in 0..20 {
        let start = Instant::now();
        let response = site.stream(0, &format!("s{number}"), "1").await.unwrap();
        let elapsed = start.elapsed();
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(elapsed < REFUSAL_TIME, "{elapsed:?}");
        let retry_after = retry_after_s(&response);
        assert!(retry_after > 2.0 && retry_after < 6.1, "{retry_after}");
    }
    let refusals: Vec<usize> = engines.iter().map(|engine| engine.refusals()).collect();
    assert!(refusals.iter().all(|count| *count <= 1), "{refusals:?}");
}
