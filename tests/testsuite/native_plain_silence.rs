//! Tests of nodes on the users' platform: plain requests whose instance responds late.

use std::time::Duration;

use cuminlb_test_support::{HttpResponse, SiteError};
use http::StatusCode;
use tokio::time::Instant;

use crate::scripted_worker::Step::{self, Send, Wait};
use crate::silence_site::{PLAIN, Script, SilenceSite};

/// A whole response.
const RESPONSE: &str =
    "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-seal: s\r\n\r\nall of it";

/// An instance that responds later than the time after which a request is sent to another one, but
/// before its deadline, and one that responds at once.
const LATE: &[Step] = &[Wait(Duration::from_millis(2_500)), Send(RESPONSE)];
const PROMPT: &[Step] = &[Send(RESPONSE)];

/// Instances without a whole response.
const REFUSING: &[Step] = &[Send(
    "HTTP/1.1 503 Service Unavailable\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n",
)];
const SILENT: &[Step] = &[Wait(Duration::from_secs(60))];
const BREAKING: &[Step] = &[Send(
    "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-seal: s\r\ncontent-length: 9\r\n\r\nall",
)];
const FAILING: &[Step] = &[Send(
    "HTTP/1.1 500 Internal Server Error\r\nx-attempt-id: {id}\r\nx-response-seal: s\r\n\
     content-length: 0\r\n\r\n",
)];

/// When a caller must have its response, a quarter of a second after it stops waiting.
const LATEST_RESPONSE: Duration = Duration::from_millis(4_250);

fn is_whole(response: &Result<HttpResponse, SiteError>) -> bool {
    response
        .as_ref()
        .is_ok_and(|response| response.status == StatusCode::OK && response.text() == "all of it")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_response_is_not_lost_when_no_other_instance_responds() {
    let services: [[Script; 2]; 4] = [
        [Some(LATE), Some(REFUSING)],
        [Some(LATE), None],
        [Some(LATE), Some(SILENT)],
        [Some(LATE), Some(BREAKING)],
    ];
    let site = SilenceSite::start(&services).await;
    let requests = (0..services.len()).map(|service| site.send(service, PLAIN));
    let responses = futures_util::future::join_all(requests).await;
    let lost = responses.iter().filter(|response| !is_whole(response));
    let lost: Vec<_> = lost.collect();
    assert!(lost.is_empty(), "{} lost: {lost:#?}", lost.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_served_by_another_instance_when_its_own_is_silent() {
    let site = SilenceSite::start(&[[Some(SILENT), Some(PROMPT)]]).await;
    assert!(is_whole(&site.send(0, PLAIN).await));
    site.worker(0).wait_left_alone().await;
    assert!(site.worker(0).requests()[0].was_cancelled);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_response_is_not_replaced_by_the_failure_of_another_instance() {
    let site = SilenceSite::start(&[[Some(LATE), Some(FAILING)]]).await;
    let response = site.send(0, PLAIN).await;
    assert!(is_whole(&response), "{response:#?}");
    assert_eq!(site.offers(0), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failed_response_is_sent_at_the_deadline_if_a_silent_instance_does_not_respond() {
    let site = SilenceSite::start(&[[Some(SILENT), Some(FAILING)]]).await;
    let start = Instant::now();
    let response = site.send(0, PLAIN).await.unwrap();
    let elapsed = start.elapsed();
    assert_eq!(response.status, StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(site.offers(0), 1);
    assert!(elapsed < LATEST_RESPONSE, "{elapsed:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failed_response_is_sent_at_once_when_no_attempt_is_open() {
    let site = SilenceSite::start(&[[Some(FAILING), Some(FAILING)]]).await;
    let start = Instant::now();
    let response = site.send(0, PLAIN).await.unwrap();
    let elapsed = start.elapsed();
    assert_eq!(response.status, StatusCode::INTERNAL_SERVER_ERROR);
    assert!(elapsed < Duration::from_millis(1_500), "{elapsed:?}");
}
