//! Case 5: a key is taken away, and requests with it go on running on a route that needs none.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cuminlb_native_standins::{Fleet, PlainWorker, Store};
use cuminlb_review::{Case, HOST, KEY, read_response, write_settings};
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// `configApplyMs` of suva-oars.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// How long the consumer goes on after that.
const LATER: Duration = Duration::from_secs(6);
/// A key that no manifest ever holds.
const UNKNOWN_KEY: &str = "key-of-nobody";

fn manifest(version: u32, keys: &[&str]) -> Value {
    let route = |name: &str, prefix: &str, is_open: bool| {
        json!({
            "name": name, "host": HOST, "prefix": prefix, "kind": "idempotent", "timeoutMs": 1000,
            "targetLatencyMs": 150, "priority": 1, "service": "desk", "maxAttempts": 2,
            "allowAnonymous": is_open,
        })
    };
    json!({
        "version": version,
        "routes": [route("open", "/open/", true), route("closed", "/closed/", false)],
        "services": [{"name": "desk", "maxConnections": 110, "warmupS": 0, "coldPerS": 0}],
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 4_194_304, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "rowers", "apiKeys": keys}],
    })
}

/// Sends one request on a kept channel; returns its status and whether a worker has run it.
async fn ask(
    case: &Case,
    fleet: &Fleet,
    stream: &mut TcpStream,
    path: &str,
    key: &str,
) -> (Option<u16>, bool) {
    let id = case.id();
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 1000\r\n\
         Authorization: Token {key}\r\n\r\n"
    );
    if stream.write_all(request.as_bytes()).await.is_err() {
        return (None, false);
    }
    let response = timeout(Duration::from_secs(2), read_response(stream)).await;
    (
        response.unwrap_or(None),
        !fleet.runs.workers_of(&id).is_empty(),
    )
}

#[tokio::main]
async fn main() {
    let (case, setting) = Case::from_arguments();
    let case = Arc::new(case);
    case.end_in_time();
    let fleet = Fleet::default();
    let mut servers = Vec::new();
    for id in ["p0", "p1", "p2"] {
        let (work, failures) = (Duration::from_millis(30), Arc::default());
        let worker = PlainWorker::start(&fleet, id, "desk", "za", work, failures);
        servers.push(worker.await.unwrap());
    }
    fleet
        .rows
        .put("op", "config", &manifest(1, &["another-key", KEY]));
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let store = Store::start(fleet.rows.clone(), any).await.unwrap();
    let settings = write_settings(&setting, store.address());
    case.start_node(&setting, &settings);
    let address: SocketAddr = format!("{}:8227", setting.ip).parse().unwrap();

    let mut connected = None;
    for _ in 0..200 {
        sleep(Duration::from_millis(100)).await;
        let Ok(mut stream) = TcpStream::connect(address).await else {
            continue;
        };
        if ask(&case, &fleet, &mut stream, "/closed/x", KEY).await.0 == Some(200) {
            connected = Some(stream);
            break;
        }
    }
    let Some(mut stream) = connected else {
        case.end(2, "not run: the node serves nothing");
    };
    case.note("the node serves; the consumer keeps its channel");
    if setting.has_trouble {
        fleet
            .rows
            .put("op", "config", &manifest(2, &["another-key"]));
        case.note("operator: version 2, acknowledged, no longer holds the consumer's key");
    }
    let acknowledged_at = Instant::now();
    let mut run_late = 0;
    let mut refused = 0;
    while acknowledged_at.elapsed() < CONFIG_APPLY + LATER {
        let sent_at = acknowledged_at.elapsed();
        for path in ["/open/x", "/closed/x"] {
            let (status, has_run) = ask(&case, &fleet, &mut stream, path, KEY).await;
            case.note(&format!(
                "{path} with the consumer's key, sent {} ms after the acknowledgement: {status:?}, \
                 run by a worker: {has_run}",
                sent_at.as_millis()
            ));
            let is_late = setting.has_trouble && sent_at > CONFIG_APPLY;
            run_late += u32::from(is_late && has_run);
            refused += u32::from(is_late && status == Some(401));
        }
        sleep(Duration::from_millis(500)).await;
    }
    if setting.has_trouble {
        for path in ["/open/x", "/closed/x"] {
            let asked = ask(&case, &fleet, &mut stream, path, UNKNOWN_KEY).await;
            case.note(&format!(
                "{path} with a key that no manifest ever held: {:?}, run by a worker: {}",
                asked.0, asked.1
            ));
        }
    }
    case.note(&format!(
        "requests with the dropped key later than {} ms: {run_late} run, {refused} refused with 401",
        CONFIG_APPLY.as_millis()
    ));
    if run_late > 0 {
        case.end(1, "CONFIG is broken");
    }
    case.end(0, "held");
}
