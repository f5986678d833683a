//! Guards against panics and misleading responses on arbitrary input from callers: each request is
//! handled, or refused with a code that matches the status and the fact that it has not run.

use cuminlb_caller::{ModelCall, RefusalBody};
use cuminlb_routing::{RefusalKind, RunState};
use proptest::prelude::*;
use tokio::runtime::Runtime;

use crate::fake_caller_handler::CallerServer;
use crate::raw_http::{RawResponse, exchange, request};
use crate::support::proptest_config;

proptest! {
    #![proptest_config(proptest_config(256))]

    #[test]
    fn any_model_call_is_parsed_or_refused(
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

/// Checks that a refusal has the right status for its code, names the request and says that the
/// request has not run.
fn check_refusal(response: &RawResponse) {
    let body: RefusalBody = serde_json::from_slice(&response.body)
        .unwrap_or_else(|error| panic!("invalid refusal: {error} in {response:?}"));
    assert_eq!(body.error.run_state, RunState::NotRun);
    assert_eq!(body.error.request_id.as_str(), "request-1");
    let expected = match body.error.code.as_str() {
        "bad_request" => 400,
        "body_too_large" => 413,
        "receive_timeout" => 408,
        other => panic!("unexpected code {other}"),
    };
    assert_eq!(response.status, expected);
}

#[test]
fn any_headers_and_body_get_a_response_or_a_typed_refusal() {
    let runtime = Runtime::new().unwrap();
    let server = runtime.block_on(CallerServer::start());
    let mut runner = proptest::test_runner::TestRunner::new(proptest_config(64));
    let path = prop_oneof![
        Just("/v1/chat/completions".to_owned()),
        Just("/v1/completions".to_owned()),
        "/[!-~]{0,20}",
    ];
    // Bytes that are valid in a header value: visible ASCII, spaces and bytes above ASCII.
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
            let response = runtime.block_on(exchange(server.address, &bytes));
            match response.status {
                200 => prop_assert!(body.len() <= 4_096),
                // The HTTP library rejects invalid HTTP itself, before there is a request.
                400 if response.body.is_empty() => {}
                _ => check_refusal(&response),
            }
            Ok(())
        })
        .unwrap();
    let rejected = server.handler.rejected.lock().unwrap().len();
    assert!(
        rejected > 10,
        "only {rejected} refusals were recorded for the timeline"
    );
    runtime.block_on(server.stop());
}

#[test]
fn each_refusal_names_the_field_and_the_limit() {
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
        let response = runtime.block_on(exchange(server.address, &bytes));
        check_refusal(&response);
        let text = String::from_utf8_lossy(&response.body);
        assert!(text.contains(expected), "no `{expected}` in {text}");
    }
    runtime.block_on(server.stop());
}
