//! The operator token: every way of being refused, and no line that shows it.

use std::sync::Mutex;

use cuminlb_caller::OperatorToken;
use log::{LevelFilter, Log, Metadata, Record};

use crate::fake_operators::{OperatorServer, TOKEN};
use crate::raw_http::{exchange, request};

/// Keeps every log line of the process.
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

/// Every call that needs the token.
const CALLS: [(&str, &str); 5] = [
    ("POST", "/apply"),
    ("GET", "/status"),
    ("GET", "/fleet-status"),
    ("GET", "/fleet"),
    ("POST", "/events"),
];

#[tokio::test]
async fn a_wrong_token_is_refused_on_every_call_and_shown_nowhere() {
    log::set_logger(&LOG_LINES).unwrap();
    log::set_max_level(LevelFilter::Trace);
    let server = OperatorServer::start().await;
    let wrong_values: [Vec<u8>; 11] = [
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
    for (method, path) in CALLS {
        let mut header_lists: Vec<Vec<(&str, &[u8])>> = vec![Vec::new()];
        header_lists.extend(
            wrong_values
                .iter()
                .map(|value| vec![("authorization", value.as_slice())]),
        );
        let right = format!("Bearer {TOKEN}");
        header_lists.push(vec![("x-authorization", right.as_bytes())]);
        for headers in header_lists {
            let bytes = request(method, path, &headers, b"{}");
            let answer = exchange(server.address, &bytes).await;
            let shown = String::from_utf8_lossy(&answer.body);
            assert_eq!(answer.status, 401, "{method} {path} {headers:?}");
            assert!(!shown.contains(TOKEN) && !answer.head.contains(TOKEN));
        }
    }
    assert_eq!(server.calls(), 0, "a call got past the token");

    let right = format!("Bearer {TOKEN}");
    for (method, path) in CALLS {
        let headers = [("authorization", right.as_bytes())];
        let answer = exchange(server.address, &request(method, path, &headers, b"{}")).await;
        assert_ne!(answer.status, 401, "{method} {path}");
    }
    // An apply and a question for events with an empty object are refused by what they lack.
    assert_eq!(server.calls(), 3);
    server.stop().await;

    let debug = format!("{:?}", OperatorToken::new(TOKEN.into()));
    assert!(!debug.contains(TOKEN));
    let lines = LOG_LINES.0.lock().unwrap();
    let shown = lines.iter().find(|line| line.contains(TOKEN));
    assert_eq!(shown, None, "the token was logged");
}

#[tokio::test]
async fn state_and_metrics_need_no_token() {
    let server = OperatorServer::start().await;
    for (path, status, body) in [
        ("/healthz", 200, "ok\n"),
        ("/readyz", 503, "not ready\n"),
        ("/metrics", 200, "# EOF\n"),
    ] {
        let answer = exchange(server.address, &request("GET", path, &[], b"")).await;
        assert_eq!(answer.status, status, "{path}");
        assert_eq!(String::from_utf8_lossy(&answer.body), body, "{path}");
    }
    let answer = exchange(server.address, &request("GET", "/nothing", &[], b"")).await;
    assert_eq!(answer.status, 404);
    server.stop().await;
}
