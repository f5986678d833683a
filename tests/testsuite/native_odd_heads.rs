//! Tests of nodes on the users' platform: answers whose head or framing is odd or malformed.

use crate::answering_site::{ANSWERING, LOOKUP, RESERVE, STREAM, answering_site, wait_rows_read};
use crate::answering_worker::{Answer, AnswerEnd, AnsweringWorker, WorkerRequest};
use crate::cut_answer::Expected;
use crate::native_site::NativeSite;
use crate::raw_response::{RawResponse, send_raw};

/// The header lines of an answer that names its request and bears the proof.
const NAMED: &str = "x-attempt-id: {id}\r\nx-response-seal: s\r\n";

/// The routes that are tested.
const ROUTES: [&str; 3] = [LOOKUP, RESERVE, STREAM];

fn success() -> Expected {
    Expected::Success("ok".to_owned())
}

/// Returns that an answer may be rejected, but not be changed.
fn either() -> Expected {
    Expected::Either("ok".to_owned())
}

/// Returns a head with the status line and the header lines.
fn head(status_line: &str, lines: &str) -> String {
    format!("{status_line}\r\n{NAMED}{lines}\r\n")
}

/// Sends a request to each route for each answer, and checks what the caller receives.
async fn check(site: &NativeSite, answers: &[(String, Expected)]) {
    let texts: Vec<String> = answers.iter().map(|(text, _)| text.clone()).collect();
    let respond = move |request: &WorkerRequest| {
        let number: usize = request.id.rsplit('-').next().unwrap().parse().unwrap();
        Answer::new(&texts[number], AnswerEnd::Close)
    };
    let worker = AnsweringWorker::start(&site.fleet, "k0", ANSWERING, respond).await;
    wait_rows_read(site).await;
    for (number, (text, expected)) in answers.iter().enumerate() {
        for (route_number, route) in ROUTES.into_iter().enumerate() {
            let id = format!("r-{route_number}-{number}");
            let response = send_raw(site, route, &id).await;
            let requests = worker.requests();
            let runs = requests.iter().filter(|it| it.id == id).count();
            assert_eq!(runs, 1, "{text:?} {route}");
            check_response(&response, expected, &format!("{text:?} {route}"));
        }
    }
}

fn check_response(response: &RawResponse, expected: &Expected, name: &str) {
    let received = &response.text;
    assert_eq!(
        received.matches("HTTP/1.1").count(),
        1,
        "{name}: {received}"
    );
    let status = response.status();
    let body = response.complete_body().filter(|_| status == Some(200));
    let is_failure = body.is_none() && matches!(status, Some(200 | 502 | 504));
    let is_expected = match expected {
        Expected::Failure => is_failure,
        Expected::Success(expected) => body.as_ref() == Some(expected),
        Expected::Either(expected) => is_failure || body.as_ref() == Some(expected),
    };
    assert!(is_expected, "{name}: {received}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_interim_head_that_is_followed_by_nothing_is_no_answer() {
    let site = answering_site(1).await;
    let whole = head("HTTP/1.1 200 OK", "content-length: 2\r\n") + "ok";
    let mut answers = Vec::new();
    for interim in [
        "HTTP/1.1 100 Continue",
        "HTTP/1.1 103 Early Hints",
        "HTTP/1.1 199 X",
    ] {
        let interim = head(interim, "");
        answers.push((interim.clone(), Expected::Failure));
        answers.push((interim.repeat(3), Expected::Failure));
        answers.push((
            interim.clone() + &whole[..whole.len() - 4],
            Expected::Failure,
        ));
        answers.push((interim.repeat(2) + &whole, success()));
    }
    check(&site, &answers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_of_protocol_that_nobody_asked_for_is_no_answer() {
    let site = answering_site(1).await;
    let switching = "HTTP/1.1 101 Switching Protocols";
    let answers = [
        "",
        "connection: upgrade\r\nupgrade: x\r\n",
        "content-length: 2\r\n",
    ]
    .map(|lines| (head(switching, lines) + "ok", Expected::Failure));
    check(&site, &answers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_malformed_head_is_no_answer() {
    let site = answering_site(1).await;
    let length = "content-length: 2\r\n";
    let status_lines = [
        "HTTP/1.1 20",
        "HTTP/1.1 2000 OK",
        "HTTP/1.1 099 X",
        "HTTP/1.1 -20 X",
        "HTTP/2.0 200 OK",
        "HTTP/1.1200 OK",
        "HTTP/1.1",
        "http/1.1 200 OK",
        " HTTP/1.1 200 OK",
        "200 OK",
    ];
    let mut answers: Vec<_> = status_lines
        .map(|line| (head(line, length) + "ok", Expected::Failure))
        .into();
    let lines = [
        "no colon\r\n",
        "x y: z\r\n",
        ": z\r\n",
        "x-a\0b: z\r\n",
        "x-a: y\0z\r\n",
        "x-a: y\rz\r\n",
    ];
    for line in lines {
        answers.push((
            head("HTTP/1.1 200 OK", &format!("{line}{length}")) + "ok",
            Expected::Failure,
        ));
    }
    for text in [
        "\r\n\r\n",
        "\n",
        "HTTP/1.1 200 OK\r\n\r",
        "ok",
        "HTTP/1.1 200 OK\r\n\r\n",
    ] {
        answers.push((text.to_owned(), Expected::Failure));
    }
    check(&site, &answers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unusual_head_is_read_whole_or_not_at_all() {
    let site = answering_site(1).await;
    let length = "content-length: 2\r\n";
    let whole = head("HTTP/1.1 200 OK", length) + "ok";
    let bare = whole.replace("\r\n", "\n");
    let folded = head("HTTP/1.1 200 OK", &format!("x-more: a\r\n b\r\n{length}")) + "ok";
    let folded_length = head("HTTP/1.1 200 OK", "content-length:\r\n 2\r\n") + "ok";
    let answers = [
        (bare.clone(), either()),
        (bare[..bare.len() - 3].to_owned(), Expected::Failure),
        (folded.clone(), either()),
        (folded[..folded.len() - 4].to_owned(), Expected::Failure),
        (folded_length, either()),
        (format!("\r\n\r\n{whole}"), either()),
        (head("HTTP/1.1 200", length) + "ok", either()),
        (head("HTTP/1.0 200 OK", length) + "ok", either()),
        (
            head("HTTP/1.0 200 OK", "transfer-encoding: chunked\r\n") + "2\r\nok\r\n0\r\n\r\n",
            either(),
        ),
    ];
    check(&site, &answers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_whose_length_is_unclear_is_no_success() {
    let site = answering_site(1).await;
    let cases = [
        ("content-length: 2\r\ncontent-length: 2\r\n", either()),
        ("content-length: 2, 2\r\n", either()),
        (
            "content-length: 2\r\ncontent-length: 1\r\n",
            Expected::Failure,
        ),
        (
            "content-length: 1\r\ncontent-length: 2\r\n",
            Expected::Failure,
        ),
        ("content-length: 2, 1\r\n", Expected::Failure),
        ("content-length: +2\r\n", Expected::Failure),
        ("content-length: -2\r\n", Expected::Failure),
        ("content-length: 2x\r\n", Expected::Failure),
        ("content-length: 0x2\r\n", Expected::Failure),
        ("content-length:\r\n", Expected::Failure),
        (
            "content-length: 99999999999999999999\r\n",
            Expected::Failure,
        ),
        (
            "content-length: 18446744073709551615\r\n",
            Expected::Failure,
        ),
        ("content-length: 3\r\n", Expected::Failure),
    ];
    let answers = cases.map(|(lines, expected)| (head("HTTP/1.1 200 OK", lines) + "ok", expected));
    check(&site, &answers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_in_a_coding_that_nobody_asked_for_is_no_success() {
    let site = answering_site(1).await;
    let chunked = "2\r\nok\r\n0\r\n\r\n";
    let cases = [
        ("transfer-encoding: gzip\r\n", "ok"),
        ("transfer-encoding: gzip, chunked\r\n", chunked),
        (
            "transfer-encoding: gzip\r\ntransfer-encoding: chunked\r\n",
            chunked,
        ),
        ("transfer-encoding: chunked, gzip\r\n", chunked),
        ("transfer-encoding: xchunked\r\n", chunked),
    ];
    let answers = cases.map(|(lines, body)| {
        let text = head("HTTP/1.1 200 OK", lines) + body;
        (text, Expected::Failure)
    });
    check(&site, &answers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_chunks_are_no_success() {
    let site = answering_site(1).await;
    let chunked = head("HTTP/1.1 200 OK", "transfer-encoding: chunked\r\n");
    let bodies = [
        "2\r\nok0\r\n\r\n",
        "2\r\nokk\r\n0\r\n\r\n",
        "-2\r\nok\r\n0\r\n\r\n",
        "\r\nok\r\n0\r\n\r\n",
        "x\r\nok\r\n0\r\n\r\n",
        "fffffffffffffffff\r\nok\r\n0\r\n\r\n",
        "2;x\nok\r\n0\r\n\r\n",
        "2\r\nok\r\n0\r\n",
        "2\r\nok\r\n0",
        "2\r\nok\r\n",
        "0",
        "",
        "2\r\nok\r\n0\r\nno colon",
    ];
    let answers = bodies.map(|body| (format!("{chunked}{body}"), Expected::Failure));
    check(&site, &answers).await;
    let both = head(
        "HTTP/1.1 200 OK",
        "transfer-encoding: chunked\r\ncontent-length: 9\r\n",
    );
    let both = (both + "2\r\nok\r\n0\r\n\r\n", either());
    let bare = (format!("{chunked}2\nok\n0\n\n"), either());
    check(&site, &[both, bare]).await;
}
