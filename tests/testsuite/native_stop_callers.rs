//! Tests of nodes on the users' platform: callers that go on sending during a planned stop.

use std::time::Duration;

use futures_util::future::join_all;
use tokio::time::sleep;

use crate::answering_site::{LOOKUP, RESERVE, STREAM};
use crate::answering_worker::{Answer, WorkerRequest};
use crate::raw_caller::{RawCaller, RawResponse};
use crate::stopping_site::{
    GRACE, LAST_SIXTH, StoppingSite, answer_after, request_with_body, stream_over,
};

/// The number of callers that go on sending, and what the streams and the work of two of them differ by.
const CALLERS: u64 = 36;
const STREAM_STEP_MS: u64 = 150;
const WORK_STEP_MS: u64 = 130;

/// The worker of requests whose ids end with their duration in milliseconds.
fn work_by_id(request: &WorkerRequest) -> Answer {
    let duration = request.id.rsplit('-').next();
    let duration = Duration::from_millis(duration.and_then(|it| it.parse().ok()).unwrap_or(0));
    if request.id.starts_with("stream") {
        stream_over(duration)
    } else {
        answer_after(duration)
    }
}

/// Checks the answer to a request that is no stream which had begun before.
fn check_answer(site: &StoppingSite, id: &str, response: Option<&RawResponse>) {
    let elapsed = site.signaled_at.elapsed();
    let received = site.received(id);
    match response.map(|response| response.status) {
        Some(503) => assert_eq!(
            received, 0,
            "{id} was refused after {elapsed:?}, but has run"
        ),
        Some(status) => assert!([200, 504].contains(&status), "{id}: {status}"),
        None => assert_eq!(received, 0, "{id} was cut after {elapsed:?}"),
    }
}

/// Sends requests until the node accepts none: one after a stream from before the signal, and others on
/// new connections.
async fn go_on_sending(site: &StoppingSite, number: u64, mut caller: RawCaller) -> usize {
    let work_ms = number * WORK_STEP_MS % 1_500;
    let path = if number.is_multiple_of(2) {
        RESERVE
    } else {
        LOOKUP
    };
    let stream = caller.read_response().await;
    if stream.is_none() {
        assert!(site.signaled_at.elapsed() >= LAST_SIXTH);
        return 0;
    }
    let mut answered = 0;
    for round in 0.. {
        let id = format!("work-{number}-{round}-{work_ms}");
        let request = request_with_body(path, &id, "body");
        if caller.write(request).await.is_err() {
            break;
        }
        let response = caller.read_response().await;
        check_answer(site, &id, response.as_ref());
        answered += usize::from(response.is_some());
        match RawCaller::try_connect(&site.site.nodes[0]).await {
            Ok(next) => caller = next,
            Err(_closed) => break,
        }
    }
    answered
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_that_go_on_sending_until_the_process_is_gone_lose_nothing() {
    let mut site = StoppingSite::start(work_by_id).await;
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let mut caller = site.connect().await;
        let id = format!("stream-{number}-{}", number * STREAM_STEP_MS + 500);
        caller
            .write(request_with_body(STREAM, &id, ""))
            .await
            .unwrap();
        callers.push(caller);
    }
    sleep(Duration::from_millis(200)).await;
    site.stop();
    let callers = (0..CALLERS).zip(callers);
    let callers = callers.map(|(number, caller)| go_on_sending(&site, number, caller));
    let answered: usize = join_all(callers).await.into_iter().sum();
    assert!(answered >= 30, "only {answered} requests were answered");
    let ended_after = site.wait_ended().await;
    assert!(ended_after < GRACE, "{ended_after:?}");
}
