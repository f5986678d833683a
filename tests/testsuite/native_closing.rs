//! Tests of nodes on the users' platform: connections that end while their caller still sends or
//! waits.

use std::time::Duration;

use cuminlb_test_support::wait_until;
use nix::sys::signal::Signal;
use tokio::time::sleep;

use crate::answering_site::{ANSWERING, LOOKUP, answering_site, wait_rows_read};
use crate::answering_worker::{Answer, AnswerEnd, AnsweringWorker, complete_text};
use crate::native_site::NativeSite;
use crate::raw_caller::{RawCaller, request_head};

/// How long the worker takes, which is longer than the caller takes to send all that it sends.
const WORK: Duration = Duration::from_millis(400);

/// The pause between two parts of what a caller sends, so that the node reads each on its own.
const PAUSE: Duration = Duration::from_millis(60);

/// The size of a response that does not fit in the buffers of a connection.
const BODY_BYTES: usize = 6 << 20;

/// How long the caller does not read the response.
const READ_DELAY: Duration = Duration::from_millis(600);

async fn site_with_long_responses() -> (NativeSite, AnsweringWorker) {
    let site = answering_site(1).await;
    let text = complete_text(200, "", &"b".repeat(BODY_BYTES));
    let respond = move |_: &_| Answer {
        parts: vec![(WORK, text.clone())],
        end: AnswerEnd::Keep,
    };
    let worker = AnsweringWorker::start(&site.fleet, "long", ANSWERING, respond).await;
    wait_rows_read(&site).await;
    (site, worker)
}

/// Sends a request and two more behind it, reads late, and returns the status of the first response
/// and whether it ends its connection; `None` if it is not whole.
async fn first_of_three(caller: &mut RawCaller, first_end: &str) -> Option<(u16, bool)> {
    caller
        .write(request_head("GET", LOOKUP, "first", first_end))
        .await
        .ok()?;
    for id in ["second", "third"] {
        sleep(PAUSE).await;
        caller
            .write(request_head("GET", LOOKUP, id, "\r\n"))
            .await
            .ok()?;
    }
    sleep(WORK + READ_DELAY).await;
    let response = caller.read_response().await?;
    Some((response.status, response.head.contains("connection: close")))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_last_response_is_not_reset_by_requests_behind_it() {
    let (site, _worker) = site_with_long_responses().await;
    let mut caller = RawCaller::connect_with_small_buffer(&site.nodes[0]).await;
    let first = first_of_three(&mut caller, "connection: close\r\n\r\n").await;
    assert_eq!(first, Some((200, true)));
    caller.wait_closed().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_last_response_is_not_reset_by_requests_behind_it_at_a_stop() {
    let (site, _worker) = site_with_long_responses().await;
    let mut caller = RawCaller::connect_with_small_buffer(&site.nodes[0]).await;
    site.nodes[0].process.signal(Signal::SIGTERM);
    sleep(PAUSE).await;
    let first = first_of_three(&mut caller, "\r\n").await;
    assert_eq!(first, Some((200, true)));
    caller.wait_closed().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_ends_without_a_response_is_logged() {
    let (site, _worker) = site_with_long_responses().await;
    let mut caller = RawCaller::connect(&site.nodes[0]).await;
    for method in ["GET", "HEAD"] {
        let head = request_head(method, LOOKUP, "answered", "\r\n");
        caller.write(head).await.unwrap();
        sleep(WORK + READ_DELAY).await;
    }
    let mut leaver = RawCaller::connect(&site.nodes[0]).await;
    leaver
        .write(request_head("GET", LOOKUP, "left", "\r\n"))
        .await
        .unwrap();
    sleep(PAUSE).await;
    drop(leaver);
    let unanswered = || {
        let log = site.nodes[0].process.log();
        let lines = log.lines();
        let lines = lines.filter(|line| line.contains("ended without a complete response"));
        lines.map(str::to_owned).collect::<Vec<_>>()
    };
    wait_until("the end is logged", async || !unanswered().is_empty())
        .await
        .unwrap();
    let lines = unanswered();
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(lines[0].contains("\"request\":\"left\""), "{lines:?}");
}
