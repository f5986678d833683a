//! Tests of nodes on the users' platform: instances that state in their answers that they leave.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use cuminlb_test_support::wait_until;
use http::StatusCode;

use crate::answering_site::{ANSWERING, LOOKUP, STREAM, answering_site, send, wait_rows_read};
use crate::answering_worker::{Answer, AnsweringWorker};
use crate::native_site::{NativeSite, event_ids};

/// The processing time of a plain request, on which no test here depends.
const SHORT_WORK: Duration = Duration::from_millis(5);

/// The header line of an instance that leaves.
const LEAVING: &str = "server-leaving: 1\r\n";

/// The number of requests after which each of two instances has received one, if it may.
const MANY: usize = 30;

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_says_that_it_leaves_gets_no_requests_although_its_row_says_ready() {
    let site = answering_site(1).await;
    let is_leaving = Arc::new(AtomicBool::new(true));
    let says_so = Arc::clone(&is_leaving);
    let leaver = AnsweringWorker::start(&site.fleet, "k0", ANSWERING, move |_| {
        let is_leaving = says_so.load(Ordering::Relaxed);
        Answer::complete(200, if is_leaving { LEAVING } else { "" }, "k0")
    })
    .await;
    let _stayer = AnsweringWorker::start(&site.fleet, "k1", ANSWERING, |_| {
        Answer::complete(200, "", "k1")
    })
    .await;
    wait_rows_read(&site).await;
    wait_until("the instance has received a request", async || {
        let _ = send(&site, LOOKUP, "first").await;
        !leaver.requests().is_empty()
    })
    .await
    .unwrap();
    for number in 0..MANY {
        let response = send(&site, LOOKUP, &format!("l{number}")).await.unwrap();
        assert_eq!(response.text(), "k1");
    }
    assert_eq!(leaver.requests().len(), 1);
    is_leaving.store(false, Ordering::Relaxed);
    leaver.register(2);
    wait_until("the next incarnation receives requests", async || {
        let _ = send(&site, LOOKUP, "again").await;
        leaver.requests().len() > 1
    })
    .await
    .unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_refuses_a_stream_as_it_leaves_gets_no_requests() {
    let site = answering_site(1).await;
    let leaver = AnsweringWorker::start(&site.fleet, "k0", ANSWERING, |_| {
        Answer::refusal(503, LEAVING)
    })
    .await;
    wait_rows_read(&site).await;
    wait_until("the instance has received a request", async || {
        let _ = send(&site, STREAM, "first").await;
        !leaver.requests().is_empty()
    })
    .await
    .unwrap();
    tokio::time::sleep(Duration::from_millis(350)).await;
    for number in 0..5 {
        let response = send(&site, STREAM, &format!("s{number}")).await.unwrap();
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    }
    assert_eq!(leaver.requests().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_group_whose_head_says_that_it_leaves_gets_no_streams_and_is_replaced() {
    let site = NativeSite::start(2, 5, SHORT_WORK).await;
    site.wait_serving().await;
    site.wait_open_groups(2).await;
    let head = site.open_head().unwrap();
    let long = async {
        let long = (0..6).map(|number| {
            let site = &site;
            async move {
                site.stream(number % 2, &format!("long{number}"), "150")
                    .await
            }
        });
        futures_util::future::join_all(long).await
    };
    // A node may learn of the statement only once the long streams have ended: until then it may
    // choose the head that has fewer of them.
    let counts = [AtomicUsize::new(0), AtomicUsize::new(0)];
    let short = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        let engine = site.fleet.engine(&head).unwrap();
        engine.say_leaving();
        for number in 0..2 * MANY {
            let node = number / MANY;
            let reached = reaches_head(&site, &head, node, &format!("short{number}")).await;
            counts[node].fetch_add(usize::from(reached), Ordering::Relaxed);
        }
    };
    let (long, ()) = tokio::join!(long, short);
    for response in long {
        assert_eq!(event_ids(&response.unwrap()), (1..=150).collect::<Vec<_>>());
    }
    let mut number = 0;
    wait_until("two groups serve without the instance", async || {
        number += 1;
        let node = number % 2;
        let reached = reaches_head(&site, &head, node, &format!("later{number}")).await;
        counts[node].fetch_add(usize::from(reached), Ordering::Relaxed);
        site.open_heads()
            .iter()
            .filter(|open| **open != head)
            .count()
            == 2
    })
    .await
    .unwrap();
    for (node, count) in counts.iter().enumerate() {
        let count = count.load(Ordering::Relaxed);
        assert!(count <= 1, "node {node}: {count} streams reached {head}");
    }
    site.assert_no_violations();
}

/// Sends a stream to a node and returns whether it reached an instance.
async fn reaches_head(site: &NativeSite, head: &str, node: usize, id: &str) -> bool {
    let response = site.stream(node, id, "1").await.unwrap();
    assert_eq!(response.status, StatusCode::OK);
    let workers = site.fleet.runs.workers_of(id);
    workers.iter().any(|worker| worker == head)
}
