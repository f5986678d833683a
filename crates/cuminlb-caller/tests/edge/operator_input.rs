//! Guards against panics on arbitrary input from operators: each call is handled or refused.

use cuminlb_caller::{ApplyRequest, EventsReport, EventsRequest, FleetDocument, FleetStatus};
use proptest::prelude::*;
use tokio::runtime::Runtime;

use crate::fake_operator_handler::{OperatorServer, TOKEN};
use crate::raw_http::{exchange, request};
use crate::support::proptest_config;

/// Generates JSON of any shape with the field names that the calls use.
fn json() -> impl Strategy<Value = String> {
    let leaf = prop_oneof![
        Just("null".to_owned()),
        any::<i64>().prop_map(|number| number.to_string()),
        Just("1e999".to_owned()),
        any::<String>().prop_map(|text| serde_json::to_string(&text).unwrap()),
    ];
    leaf.prop_recursive(4, 24, 4, |inner| {
        let name = "(base|body|filter|limit|seen|after|wall_ms|counter|request|group|zone|x)";
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4)
                .prop_map(|items| format!("[{}]", items.join(","))),
            prop::collection::vec((name, inner), 0..5).prop_map(|fields| {
                let fields = fields
                    .iter()
                    .map(|(name, value)| format!("\"{name}\":{value}"));
                format!("{{{}}}", fields.collect::<Vec<_>>().join(","))
            }),
        ]
    })
}

#[tokio::test]
async fn oversized_or_incomplete_body_is_refused() {
    let server = OperatorServer::start().await;
    let head = format!(
        "POST /apply HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\
         authorization: Bearer {TOKEN}\r\ncontent-length: "
    );
    let oversized = format!(
        "{head}{}\r\n\r\n{}",
        (4 << 20) + 1,
        " ".repeat((4 << 20) + 1)
    );
    let response = exchange(server.address, oversized.as_bytes()).await;
    assert_eq!(response.status, 413, "{response:?}");
    let incomplete = format!("{head}100\r\n\r\n{{");
    let response = exchange(server.address, incomplete.as_bytes()).await;
    assert_eq!(response.status, 408, "{response:?}");
    assert_eq!(server.calls(), 0);
    server.stop().await;
}

proptest! {
    #![proptest_config(proptest_config(256))]

    #[test]
    fn any_json_is_decoded_or_refused(
        text in json(),
        bytes in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        for input in [text.as_bytes(), &bytes] {
            let _ = serde_json::from_slice::<ApplyRequest>(input);
            let _ = serde_json::from_slice::<EventsRequest>(input);
            let _ = serde_json::from_slice::<EventsReport>(input);
            let _ = serde_json::from_slice::<FleetDocument>(input);
            let _ = serde_json::from_slice::<FleetStatus>(input);
        }
    }
}

#[test]
fn any_call_body_gets_an_expected_status() {
    let runtime = Runtime::new().unwrap();
    let server = runtime.block_on(OperatorServer::start());
    let address = server.address;
    let authorization = format!("Bearer {TOKEN}");
    let mut runner = proptest::test_runner::TestRunner::new(proptest_config(48));
    let bodies = prop_oneof![
        json().prop_map(String::into_bytes),
        prop::collection::vec(any::<u8>(), 0..300),
    ];
    let paths = prop_oneof![Just("/apply"), Just("/events")];
    runner
        .run(&(paths, bodies), |(path, body)| {
            let headers = [("authorization", authorization.as_bytes())];
            let bytes = request("POST", path, &headers, &body);
            let response = runtime.block_on(exchange(address, &bytes));
            // The fake handler responds to every valid apply with a conflict.
            prop_assert!(
                [200, 400, 409].contains(&response.status),
                "{} to {path} {body:?}",
                response.status
            );
            Ok(())
        })
        .unwrap();
    let deeply_nested = format!("{{\"filter\":{}", "[".repeat(200_000));
    let headers = [("authorization", authorization.as_bytes())];
    let response = runtime.block_on(exchange(
        address,
        &request("POST", "/events", &headers, deeply_nested.as_bytes()),
    ));
    assert_eq!(response.status, 400);
    runtime.block_on(server.stop());
}
