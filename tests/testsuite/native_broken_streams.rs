//! Tests of nodes on the users' platform: streams that break off and what the next instance answers.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use crate::answering_site::{ANSWERING, STREAM, answering_site, wait_rows_read};
use crate::answering_worker::{Answer, AnswerEnd, AnsweringWorker};
use crate::native_site::NativeSite;
use crate::raw_response::{RawResponse, send_raw};

/// Returns a stream in chunked coding with the events `ids`.
fn stream_text(ids: impl IntoIterator<Item = u64>) -> String {
    let head = "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-seal: s\r\n\
                content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
    let mut text = head.to_owned();
    for id in ids {
        let event = format!("id: {id}\ndata: piece {id}\n\n");
        text += &format!("{:x}\r\n{event}\r\n", event.len());
    }
    text
}

/// Returns a stream that ends as a complete one.
fn whole_stream(ids: impl IntoIterator<Item = u64>) -> Answer {
    Answer::new(stream_text(ids) + "0\r\n\r\n", AnswerEnd::Keep)
}

/// Returns the response to a stream whose first instance breaks it off after two events, and whose
/// second one answers with `next`.
async fn response_after_break(site: &NativeSite, end: AnswerEnd, next: Answer) -> RawResponse {
    let count = Arc::new(AtomicUsize::new(0));
    let respond = || {
        let (count, next) = (Arc::clone(&count), next.clone());
        move |_: &crate::answering_worker::WorkerRequest| {
            if count.fetch_add(1, Ordering::Relaxed) == 0 {
                let text = stream_text([1, 2]) + "1f\r\nid: 3\nda";
                Answer::new(text, end)
            } else {
                next.clone()
            }
        }
    };
    let _first = AnsweringWorker::start(&site.fleet, "k0", ANSWERING, respond()).await;
    let _second = AnsweringWorker::start(&site.fleet, "k1", ANSWERING, respond()).await;
    wait_rows_read(site).await;
    send_raw(site, STREAM, "s1").await
}

/// Checks what a caller receives if the second instance answers with `next`.
async fn check(next: Answer, expected_ids: &[u64], is_complete: bool) {
    let site = answering_site(1).await;
    for end in [AnswerEnd::Close, AnswerEnd::Reset] {
        let response = response_after_break(&site, end, next.clone()).await;
        let text = &response.text;
        assert_eq!(
            response.event_ids(),
            expected_ids,
            "{end:?} {next:?}: {text}"
        );
        assert_eq!(
            response.is_complete(),
            is_complete,
            "{end:?} {next:?}: {text}"
        );
        assert_eq!(text.matches("HTTP/1.1").count(), 1, "{text}");
        assert!(!text.contains("error text"), "{text}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_error_after_a_break_is_not_written_into_the_stream() {
    for status in [500, 503, 200, 429] {
        check(Answer::complete(status, "", "error text"), &[1, 2], false).await;
    }
    check(Answer::refusal(503, ""), &[1, 2], false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bytes_that_are_no_response_after_a_break_are_not_written_into_the_stream() {
    let garbage = Answer::new("error text without a head\r\n\r\n", AnswerEnd::Close);
    check(garbage, &[1, 2], false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_is_continued_is_whole() {
    check(whole_stream(3..=5), &[1, 2, 3, 4, 5], true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_starts_again_repeats_no_event() {
    check(whole_stream(1..=5), &[1, 2, 3, 4, 5], true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_is_continued_after_a_gap_is_aborted() {
    check(whole_stream(5..=7), &[1, 2], false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_starts_again_and_ends_too_early_is_aborted() {
    check(whole_stream(1..=1), &[1, 2], false).await;
}

/// The first instance breaks off inside the third event, so there is one.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_ends_before_an_event_that_had_begun_is_aborted() {
    check(whole_stream([]), &[1, 2], false).await;
    check(whole_stream(1..=2), &[1, 2], false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_is_continued_without_ids_is_aborted() {
    let mut text = stream_text([]);
    let event = "data: piece without an id\n\n";
    text += &format!("{:x}\r\n{event}\r\n0\r\n\r\n", event.len());
    check(Answer::new(text, AnswerEnd::Keep), &[1, 2], false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_empty_stream_that_ends_with_its_connection_completes_no_stream() {
    let head = "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-seal: s\r\n\
                content-type: text/event-stream\r\n\r\n";
    check(Answer::new(head, AnswerEnd::Close), &[1, 2], false).await;
}

/// Guards against LOST: a caller got neither an answer nor a refusal when a stream broke off right after
/// its head, since the head was dropped with the connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_breaks_off_before_its_first_event_is_answered() {
    let site = answering_site(1).await;
    let pause = Duration::from_millis(50);
    for end in [AnswerEnd::Close, AnswerEnd::Reset] {
        for rest in ["", "1f\r\n", "1f\r\nid: 1\nda"] {
            for pause in [Duration::ZERO, pause] {
                let parts = vec![(Duration::ZERO, stream_text([])), (pause, rest.to_owned())];
                let answer = Answer { parts, end };
                let respond = move |_: &crate::answering_worker::WorkerRequest| answer.clone();
                let worker = AnsweringWorker::start(&site.fleet, "k0", ANSWERING, respond).await;
                wait_rows_read(&site).await;
                let response = send_raw(&site, STREAM, "s1").await;
                let case = format!("{end:?} {rest:?} {pause:?}: {}", response.text);
                assert_eq!(response.status(), Some(502), "{case}");
                assert!(response.complete_body().is_some(), "{case}");
                drop(worker);
            }
        }
    }
}
