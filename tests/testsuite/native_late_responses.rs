//! Tests of nodes on the users' platform: responses that belong to no request or an earlier one.

use std::time::Duration;

use http::StatusCode;

use crate::answering_site::{
    ANSWERING, LOOKUP, RESERVE, STREAM, answering_site, send, wait_rows_read,
};
use crate::answering_worker::{Answer, AnswerEnd, AnsweringWorker, complete_text};

/// The statuses that promise that a request has not run.
const PROMISES: [u16; 4] = [503, 429, 421, 408];

/// The header lines of a late refusal that names no request, and of one that names an earlier one.
const NAMES: [&str; 2] = ["", "x-attempt-id: first\r\n"];

/// Returns a refusal with `extra` header lines.
fn refusal(status: u16, extra: &str) -> String {
    format!("HTTP/1.1 {status} Refused\r\nx-not-executed: 1\r\n{extra}content-length: 0\r\n\r\n")
}

/// Returns the promises in each form.
fn promises() -> impl Iterator<Item = (u16, &'static str)> {
    let forms = PROMISES.map(|status| NAMES.map(|extra| (status, extra)));
    forms.into_iter().flatten()
}

/// Answers the first request on each connection in full, and writes a late refusal for the next one
/// although that runs.
fn late_refusal(
    status: u16,
    extra: &'static str,
) -> impl Fn(&crate::answering_worker::WorkerRequest) -> Answer {
    move |request| {
        if request.number_on_connection == 0 {
            return Answer::complete(200, "", "first");
        }
        let text = refusal(status, extra) + &complete_text(200, "", "next");
        Answer::new(text, AnswerEnd::Keep)
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_refusal_does_not_make_a_request_count_as_not_run() {
    for (status, extra) in promises() {
        let site = answering_site(1).await;
        let respond = late_refusal(status, extra);
        let worker = AnsweringWorker::start(&site.fleet, "k0", ANSWERING, respond).await;
        wait_rows_read(&site).await;
        let first = send(&site, RESERVE, "first").await.unwrap();
        assert_eq!(first.status, StatusCode::OK);
        let next = send(&site, RESERVE, "next").await;
        assert_eq!(worker.requests()[1].number_on_connection, 1);
        if let Ok(next) = next {
            assert!(
                !PROMISES.contains(&next.status.as_u16()),
                "{status}: {next:?}"
            );
        }
        let after = send(&site, RESERVE, "after").await.unwrap();
        assert_eq!(after.text(), "first", "the connection was used again");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_refusal_makes_no_request_run_twice() {
    for (status, extra) in promises() {
        let site = answering_site(1).await;
        let respond = late_refusal(status, extra);
        let first = AnsweringWorker::start(&site.fleet, "k0", ANSWERING, respond).await;
        let respond = late_refusal(status, extra);
        let second = AnsweringWorker::start(&site.fleet, "k1", ANSWERING, respond).await;
        wait_rows_read(&site).await;
        for number in 0..12 {
            let _ = send(&site, RESERVE, &format!("r{number}")).await;
        }
        let mut ids: Vec<String> = [first.requests(), second.requests()]
            .concat()
            .into_iter()
            .map(|request| request.id)
            .collect();
        ids.sort();
        let count = ids.len();
        ids.dedup();
        assert_eq!(ids.len(), count, "{status}: a request ran twice");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_refusal_does_not_refuse_a_stream() {
    let site = answering_site(1).await;
    let head = "content-type: text/event-stream\r\n";
    let worker = AnsweringWorker::start(&site.fleet, "k0", ANSWERING, move |request| {
        let stream = complete_text(200, head, "id: 1\ndata: a\n\n");
        if request.number_on_connection == 0 {
            return Answer::new(stream, AnswerEnd::Keep);
        }
        Answer::new(refusal(503, "") + &stream, AnswerEnd::Keep)
    })
    .await;
    wait_rows_read(&site).await;
    let first = send(&site, STREAM, "first").await.unwrap();
    assert_eq!(first.status, StatusCode::OK);
    let next = send(&site, STREAM, "next").await;
    assert_eq!(worker.requests()[1].number_on_connection, 1);
    if let Ok(next) = next {
        assert!(!PROMISES.contains(&next.status.as_u16()), "{next:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_first_response_without_an_id_on_a_new_connection_is_believed() {
    let site = answering_site(1).await;
    let _refuser = AnsweringWorker::start(&site.fleet, "k0", ANSWERING, |_| {
        Answer::new(refusal(503, ""), AnswerEnd::Close)
    })
    .await;
    wait_rows_read(&site).await;
    let response = send(&site, RESERVE, "r1").await.unwrap();
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
}

#[tokio::test(flavor = "multi_thread")]
async fn bytes_on_an_idle_connection_answer_no_request() {
    for pause_ms in [0, 1, 3, 10] {
        let site = answering_site(1).await;
        let worker = AnsweringWorker::start(&site.fleet, "k0", ANSWERING, move |request| {
            let body = format!("own {}", request.id);
            let own = Answer::complete(200, "", &body);
            // The number of the next request is known, so the extra response has its id.
            let next = request.id.parse::<u64>().unwrap() + 1;
            let extra = complete_text(200, "", "extra").replace("{id}", &next.to_string());
            own.and_then(Duration::from_millis(pause_ms), extra)
        })
        .await;
        wait_rows_read(&site).await;
        for number in 0..40 {
            let id = number.to_string();
            let response = send(&site, LOOKUP, &id).await.unwrap();
            if response.status.is_success() {
                assert_eq!(response.text(), format!("own {id}"), "pause {pause_ms} ms");
            }
            worker.wait_written(worker.requests().len()).await;
        }
        let reused = worker
            .requests()
            .into_iter()
            .filter(|request| request.number_on_connection > 0);
        assert_eq!(reused.count(), 0, "pause {pause_ms} ms");
    }
}
