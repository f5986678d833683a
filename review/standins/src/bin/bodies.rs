//! Case 4: callers send bodies of the size that the manifest allows, all at once.
//!
//! This program is the rest of the platform: it ends the node when its memory is over the limit of
//! its machine, and starts it again; and it is the callers.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use cuminlb_native_standins::{Engine, Fleet, PlainWorker, Store};
use cuminlb_review::{Case, HOST, KEY, MEMORY_MB, Setting, read_response, write_settings};
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// `limits.maxBodyBytes` of its manifest.
const MAX_BODY_BYTES: usize = 4_194_304;
/// The consumers of its three zones together.
const CONSUMERS: usize = 77;
/// The link of a machine, 1,000 Mbit/s, of which the bodies take nine tenths.
const LINK_BYTES_PER_S: usize = 112_500_000;
/// The largest usual body of a request for a reply of the models.
const USUAL_BODY_BYTES: usize = 2_000;
/// Consumers that ask the plain service for lookups, one after the other, on kept channels.
const LOOKUP_CONSUMERS: usize = 8;
/// The number of times that all consumers send a body.
const ROUNDS: usize = 4;

/// What was seen.
#[derive(Default)]
struct Seen {
    kills: AtomicUsize,
    peak_mb: AtomicUsize,
    cut: AtomicUsize,
    answered: AtomicUsize,
    ended: AtomicBool,
}

fn manifest() -> serde_json::Value {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, timeout: u32| {
        json!({
            "name": name, "host": HOST, "prefix": prefix, "kind": kind, "timeoutMs": timeout,
            "targetLatencyMs": 500, "priority": 1, "service": service, "maxAttempts": 2,
        })
    };
    let mut draft = route("draft", "/draft/", "streaming", "engines", 8_000);
    draft["resumable"] = json!(true);
    draft["gapAimMs"] = json!(300);
    json!({
        "version": 1,
        "routes": [draft, route("lookup", "/lookup/", "idempotent", "desk", 1_000)],
        "services": [
            {
                "name": "engines", "maxConnections": 474, "warmupS": 0, "coldPerS": 0,
                "engine": {
                    "slots": 26, "kvTokenCapacity": 1_400_000, "stride": 5, "step_ms": 6.07,
                    "per_seq_ms": 0.241, "read_per_s": 46000.0, "loadsPerS": 4.0, "loads_at_once": 6,
                    "models": [{
                        "name": "m0", "size": 2, "share": 1.0, "pace": 1.0, "loadS": 0.2, "warmS": 0.1,
                    }],
                },
            },
            {"name": "desk", "maxConnections": 110, "warmupS": 0, "coldPerS": 0},
        ],
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": MAX_BODY_BYTES, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "rowers", "apiKeys": [KEY]}],
    })
}

/// The resident memory of a process in MB.
fn resident_mb(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kib / 1_024)
}

/// Ends the process when it exceeds its memory, and starts it again after a short delay.
async fn platform(case: Arc<Case>, seen: Arc<Seen>, setting: Arc<Setting>, settings: PathBuf) {
    while !seen.ended.load(Ordering::Relaxed) {
        sleep(Duration::from_millis(10)).await;
        let Some(&pid) = case.node_ids().first() else {
            continue;
        };
        let Some(used_mb) = resident_mb(pid) else {
            continue;
        };
        seen.peak_mb.fetch_max(used_mb as usize, Ordering::Relaxed);
        if used_mb <= MEMORY_MB {
            continue;
        }
        case.kill_nodes();
        seen.kills.fetch_add(1, Ordering::Relaxed);
        case.note(&format!(
            "platform: process {pid} has {used_mb} MB, over its {MEMORY_MB} MB: killed"
        ));
        sleep(Duration::from_millis(500)).await;
        case.start_node(&setting, &settings);
    }
}

/// Asks for lookups on kept channels, and counts the channels that end without an answer to a request
/// that a worker has run.
async fn look_up(case: Arc<Case>, seen: Arc<Seen>, fleet: Fleet, address: SocketAddr) {
    while !seen.ended.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect(address).await else {
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        let mut served = 0;
        while !seen.ended.load(Ordering::Relaxed) {
            let id = case.id();
            let request = format!(
                "GET /lookup/boats HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\n\
                 X-Deadline-Ms: 1000\r\nAuthorization: Token {KEY}\r\n\r\n"
            );
            if stream.write_all(request.as_bytes()).await.is_err() {
                break;
            }
            let response = timeout(Duration::from_secs(3), read_response(&mut stream)).await;
            match response {
                Ok(Some(_status)) => {
                    served += 1;
                    seen.answered.fetch_add(1, Ordering::Relaxed);
                }
                Ok(None) | Err(_) => {
                    let workers = fleet.runs.workers_of(&id);
                    if !workers.is_empty() && served > 0 {
                        seen.cut.fetch_add(1, Ordering::Relaxed);
                    }
                    case.note(&format!(
                        "lookup {id}: its kept channel ended without an answer (run by {workers:?})"
                    ));
                    break;
                }
            }
            sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Sends one request with a body at this consumer's share of the link.
async fn send_body(case: Arc<Case>, address: SocketAddr, len: usize) -> Option<u16> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let id = case.id();
    let head = format!(
        "POST /draft/roster HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Model: m0\r\n\
         X-Token-Count: 1460,80\r\nX-Prompt-Prefix: {id}:1460\r\nX-Deadline-Ms: 8000\r\n\
         Authorization: Token {KEY}\r\nContent-Length: {len}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.ok()?;
    let part = vec![b'x'; 32 << 10];
    let started_at = Instant::now();
    let mut sent = 0;
    while sent < len {
        let next = part.len().min(len - sent);
        stream.write_all(&part[..next]).await.ok()?;
        sent += next;
        let due_s = sent as f64 * CONSUMERS as f64 / LINK_BYTES_PER_S as f64;
        let due = Duration::from_secs_f64(due_s);
        sleep(due.saturating_sub(started_at.elapsed())).await;
    }
    timeout(Duration::from_secs(9), read_response(&mut stream))
        .await
        .ok()?
}

#[tokio::main]
async fn main() {
    let (case, setting) = Case::from_arguments();
    let (case, setting) = (Arc::new(case), Arc::new(setting));
    case.end_in_time();
    let seen = Arc::new(Seen::default());
    let fleet = Fleet::default();
    let mut servers = Vec::new();
    for id in ["e0", "e1"] {
        servers.push(
            Engine::start(&fleet, id, "engines", "za", "d0")
                .await
                .unwrap(),
        );
    }
    for id in ["p0", "p1", "p2"] {
        let (work, failures) = (Duration::from_millis(100), Arc::default());
        let worker = PlainWorker::start(&fleet, id, "desk", "za", work, failures);
        servers.push(worker.await.unwrap());
    }
    fleet.rows.put("op", "config", &manifest());
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let store = Store::start(fleet.rows.clone(), any).await.unwrap();
    let settings = write_settings(&setting, store.address());
    case.start_node(&setting, &settings);
    let address: SocketAddr = format!("{}:8227", setting.ip).parse().unwrap();

    let mut is_serving = false;
    for _ in 0..200 {
        sleep(Duration::from_millis(100)).await;
        let status = send_body(Arc::clone(&case), address, USUAL_BODY_BYTES).await;
        if status == Some(200) {
            is_serving = true;
            break;
        }
    }
    if !is_serving {
        case.end(2, "not run: the node serves no stream");
    }
    case.note("the node serves; traffic begins");
    let supervisor = tokio::spawn(platform(
        Arc::clone(&case),
        Arc::clone(&seen),
        Arc::clone(&setting),
        settings,
    ));
    for _ in 0..LOOKUP_CONSUMERS {
        tokio::spawn(look_up(
            Arc::clone(&case),
            Arc::clone(&seen),
            fleet.clone(),
            address,
        ));
    }
    sleep(Duration::from_secs(2)).await;
    let len = if setting.has_trouble {
        MAX_BODY_BYTES
    } else {
        USUAL_BODY_BYTES
    };
    for round in 1..=ROUNDS {
        case.note(&format!(
            "round {round}: {CONSUMERS} consumers send a request with a body of {len} bytes each"
        ));
        let requests: Vec<_> = (0..CONSUMERS)
            .map(|_| tokio::spawn(send_body(Arc::clone(&case), address, len)))
            .collect();
        let mut statuses = std::collections::BTreeMap::<String, usize>::new();
        for request in requests {
            let status = request.await.unwrap();
            let name = status.map_or("no answer".to_owned(), |status| status.to_string());
            *statuses.entry(name).or_default() += 1;
        }
        case.note(&format!("round {round}: answers {statuses:?}"));
        sleep(Duration::from_secs(5)).await;
    }
    seen.ended.store(true, Ordering::Relaxed);
    let _ = supervisor.await;
    sleep(Duration::from_millis(1_500)).await;
    let (kills, cut) = (
        seen.kills.load(Ordering::Relaxed),
        seen.cut.load(Ordering::Relaxed),
    );
    case.note(&format!(
        "peak memory {} MB of {MEMORY_MB}; process ended {kills} times for its memory; lookups \
         answered {}; kept channels that ended without an answer to a request that ran: {cut}",
        seen.peak_mb.load(Ordering::Relaxed),
        seen.answered.load(Ordering::Relaxed),
    ));
    // LOST: more than three times.
    if cut > 3 {
        case.end(1, "LOST is broken");
    }
    case.end(0, "held");
}
