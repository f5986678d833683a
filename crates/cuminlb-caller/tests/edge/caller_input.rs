//! Callers' requests are read or refused truthfully, and never panic.

use cuminlb_caller::{ModelCall, RefusalBody};
use cuminlb_routing::{RefusalKind, RunState};
use proptest::prelude::*;
use tokio::runtime::Runtime;

use crate::fake_callers::CallerServer;
use crate::raw_http::{RawAnswer, exchange, request};
use crate::support::config;

proptest! {
    #![proptest_config(config(256))]

    #[test]
    fn any_model_call_is_read_or_refused(
        bytes in prop::collection::vec(any::<u8>(), 0..300),
        model in any::<String>(),
        stream in prop_oneof![
            Just("true".to_owned()),
            Just("null".to_owned()),
            any::<i64>().prop_map(|number| number.to_string()),
        ],
    ) {
        let model = serde_json::to_string(&model).unwrap();
        let call = format!("{{\"model\":{model},\"stream\":{stream},\"extra\":[[{{}}]]}}");
        for body in [&bytes[..], call.as_bytes()] {
            if let Err(refusal) = ModelCall::parse(body) {
                prop_assert_eq!(refusal.run_state, RunState::NotRun);
                let is_bad_request = matches!(refusal.kind, RefusalKind::BadRequest { .. });
                prop_assert!(is_bad_request);
            }
        }
    }
}

/// A refusal names its code and that the request has not run.
fn check_refusal(answer: &RawAnswer) {
    let body: RefusalBody = serde_json::from_slice(&answer.body)
        .unwrap_or_else(|error| panic!("{error} in {answer:?}"));
    assert_eq!(body.error.run_state, RunState::NotRun);
    assert_eq!(body.error.request_id.as_str(), "request-1");
    let expected = match body.error.code.as_str() {
        "bad_request" => 400,
        "body_too_large" => 413,
        "receive_timeout" => 408,
        other => panic!("{other}"),
    };
    assert_eq!(answer.status, expected);
}

#[test]
fn any_headers_and_body_get_an_answer_or_a_typed_refusal() {
    let runtime = Runtime::new().unwrap();
    let server = runtime.block_on(CallerServer::start());
    let mut runner = proptest::test_runner::TestRunner::new(config(64));
    let path = prop_oneof![
        Just("/v1/chat/completions".to_owned()),
        Just("/v1/completions".to_owned()),
        "/[!-~]{0,20}",
    ];
    // Bytes that a header may hold: visible ones, blanks, and those above ASCII.
    let header_value = prop::collection::vec(prop_oneof![0x20..=0x7e_u8, 0x80..=0xff_u8], 0..200);
    let name = prop_oneof![
        Just("authorization"),
        Just("idempotency-key"),
        Just("x-timeout-ms"),
        Just("content-type"),
        Just("x-request-id"),
    ];
    let headers = prop::collection::vec((name, header_value), 0..4);
    let body = prop::collection::vec(any::<u8>(), 0..6_000);
    runner
        .run(&(path, headers, body), |(path, headers, body)| {
            let headers: Vec<(&str, &[u8])> = headers
                .iter()
                .map(|(name, value)| (*name, value.as_slice()))
                .collect();
            let bytes = request("POST", &path, &headers, &body);
            let answer = runtime.block_on(exchange(server.address, &bytes));
            match answer.status {
                200 => prop_assert!(body.len() <= 4_096),
                // The HTTP library refuses what is no HTTP, before there is a request.
                400 if answer.body.is_empty() => {}
                _ => check_refusal(&answer),
            }
            Ok(())
        })
        .unwrap();
    let rejected = server.handler.rejected.lock().unwrap().len();
    assert!(
        rejected > 10,
        "refusals are noted for the time line: {rejected}"
    );
    runtime.block_on(server.stop());
}

#[test]
fn each_refusal_names_the_field_and_the_bound() {
    let runtime = Runtime::new().unwrap();
    let server = runtime.block_on(CallerServer::start());
    let long_key = "k".repeat(129);
    for (headers, body, expected) in [
        (vec![("x-timeout-ms", "soon")], "", "x-timeout-ms"),
        (vec![("x-timeout-ms", "-1")], "", "x-timeout-ms"),
        (vec![("idempotency-key", "a b")], "", "idempotency-key"),
        (
            vec![("idempotency-key", long_key.as_str())],
            "",
            "at most 128",
        ),
        (vec![], &*"x".repeat(5_000), "larger than 4096B"),
    ] {
        let headers: Vec<(&str, &[u8])> = headers
            .iter()
            .map(|(name, value)| (*name, value.as_bytes()))
            .collect();
        let bytes = request("POST", "/boat-desk", &headers, body.as_bytes());
        let answer = runtime.block_on(exchange(server.address, &bytes));
        check_refusal(&answer);
        let text = String::from_utf8_lossy(&answer.body);
        assert!(text.contains(expected), "no `{expected}` in {text}");
    }
    runtime.block_on(server.stop());
}
