//! Guards against operators' calls without a valid token, and against leaks of the token in
//! responses, logs or `Debug` output.

use std::sync::Mutex;

use cuminlb_caller::OperatorToken;
use log::{LevelFilter, Log, Metadata, Record};

use crate::fake_operator_handler::{OperatorServer, TOKEN};
use crate::raw_http::{exchange, request};

/// A logger that stores every log line of the process.
struct LogLines(Mutex<Vec<String>>);

static LOG_LINES: LogLines = LogLines(Mutex::new(Vec::new()));

impl Log for LogLines {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let line = format!("{} {}", record.target(), record.args());
        self.0.lock().unwrap().push(line);
    }

    fn flush(&self) {}
}

/// All calls that require the token.
const PROTECTED_CALLS: [(&str, &str); 5] = [
    ("POST", "/apply"),
    ("GET", "/status"),
    ("GET", "/fleet-status"),
    ("GET", "/fleet"),
    ("POST", "/events"),
];

#[tokio::test]
async fn invalid_token_is_refused_on_every_call_and_never_exposed() {
    log::set_logger(&LOG_LINES).unwrap();
    log::set_max_level(LevelFilter::Trace);
    let server = OperatorServer::start().await;
    let invalid_values: [Vec<u8>; 11] = [
        b"Bearer ".to_vec(),
        b"Bearer wrong-wrong-wrong-wrong".to_vec(),
        TOKEN.into(),
        format!("Basic {TOKEN}").into(),
        format!("bearer {TOKEN}").into(),
        format!("Bearer  {TOKEN}").into(),
        format!("Bearer {}", &TOKEN[..TOKEN.len() - 1]).into(),
        format!("Bearer {TOKEN}x").into(),
        format!("Bearer {}", TOKEN.to_uppercase()).into(),
        format!("Bearer {TOKEN} {TOKEN}").into(),
        b"Bearer \xff\xfe".to_vec(),
    ];
    for (method, path) in PROTECTED_CALLS {
        let mut header_lists: Vec<Vec<(&str, &[u8])>> = vec![Vec::new()];
        header_lists.extend(
            invalid_values
                .iter()
                .map(|value| vec![("authorization", value.as_slice())]),
        );
        let valid_value = format!("Bearer {TOKEN}");
        header_lists.push(vec![("x-authorization", valid_value.as_bytes())]);
        for headers in header_lists {
            let bytes = request(method, path, &headers, b"{}");
            let response = exchange(server.address, &bytes).await;
            let body_text = String::from_utf8_lossy(&response.body);
            assert_eq!(response.status, 401, "{method} {path} {headers:?}");
            assert!(!body_text.contains(TOKEN) && !response.head.contains(TOKEN));
        }
    }
    assert_eq!(server.calls(), 0, "a call passed without a valid token");

    let valid_value = format!("Bearer {TOKEN}");
    for (method, path) in PROTECTED_CALLS {
        let headers = [("authorization", valid_value.as_bytes())];
        let response = exchange(server.address, &request(method, path, &headers, b"{}")).await;
        assert_ne!(response.status, 401, "{method} {path}");
    }
    // The apply and the events query with an empty object are refused, because fields are missing.
    assert_eq!(server.calls(), 3);
    server.stop().await;

    let debug = format!("{:?}", OperatorToken::new(TOKEN.into()));
    assert!(!debug.contains(TOKEN));
    let lines = LOG_LINES.0.lock().unwrap();
    let leaked = lines.iter().find(|line| line.contains(TOKEN));
    assert_eq!(leaked, None, "the token was logged");
}

#[tokio::test]
async fn state_and_metrics_need_no_token() {
    let server = OperatorServer::start().await;
    for (path, status, body) in [
        ("/healthz", 200, "ok\n"),
        ("/readyz", 503, "not ready\n"),
        ("/metrics", 200, "# EOF\n"),
    ] {
        let response = exchange(server.address, &request("GET", path, &[], b"")).await;
        assert_eq!(response.status, status, "{path}");
        assert_eq!(String::from_utf8_lossy(&response.body), body, "{path}");
    }
    let response = exchange(server.address, &request("GET", "/nothing", &[], b"")).await;
    assert_eq!(response.status, 404);
    server.stop().await;
}
