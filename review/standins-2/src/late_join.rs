//! A worker has crashed just after it registered, and another one leaves one order unanswered and carries
//! it out later. No worker may take a join of another group while the head of its group serves.

use std::fmt::Write as _;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};
use std::{fs, io, thread};

use serde_json::json;

use crate::consumer::{HOST, KEY, ask_for_stream};
use crate::engine::{Engine, Fleet, Trouble};
use crate::http::serve;
use crate::node::{Machine, Node};
use crate::store::Store;
use crate::verdict::Verdict;

/// A machine of a small installation: "0.25 cores, 260 MB, 4,100 descriptors, 1,000 Mbit/s".
const MACHINE: Machine = Machine {
    memory_mb: 260,
    cpu_share: 0.25,
    link_mbps: 1_000.0,
};

const SERVICE: &str = "oar-assist";
const ZONE: &str = "kingston";

/// The models: groups of four workers and of two. A host keeps the weights of one model.
const LARGE: &str = "daka510000";
const SMALL: &str = "rada7437b5";

/// The workers, all in one domain, and how many of them have the weights of the large model.
const WORKERS: usize = 14;
const LARGE_WORKERS: usize = 8;

/// How much later the order is carried out: "2 to 12 s later".
const DELAY: Duration = Duration::from_millis(3_000);

/// The spare's groups are its own, that of the lost head, one with another spare, and then again that of the
/// lost head. This change is the one whose order it leaves unanswered.
const LATE_CHANGE: usize = 4;

/// The members of the small group and the spare that replaces one of them first.
const HEAD: &str = "i-09";
const MEMBER: &str = "i-10";
const SPARE: &str = "i-11";

/// When the head of the small group crashes, after the start.
const CRASH_AT: Duration = Duration::from_millis(6_000);

/// How long the workers are observed.
const OBSERVATION: Duration = Duration::from_secs(20);

/// Runs the case and writes the record.
pub fn run(root: &Path, folder: &Path, record: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let store = Arc::new(Store::new());
    let store_address = serve("127.0.0.1", Arc::clone(&store) as _)?;
    store.put("op", "config", &catalog());
    let fleet = Fleet::new(Arc::clone(&store));
    fleet.watch();
    for number in 1..=WORKERS {
        let id = format!("i-{number:02}");
        let model = if number <= LARGE_WORKERS {
            LARGE
        } else {
            SMALL
        };
        let trouble = match id.as_str() {
            MEMBER if has_trouble => Trouble::CrashAtRejoin,
            SPARE if has_trouble => Trouble::LateJoin {
                change: LATE_CHANGE,
                delay: DELAY,
            },
            _ => Trouble::None,
        };
        Engine::start(&fleet, &id, SERVICE, ZONE, model, trouble)?;
    }
    let mut node = Node::start(root, folder, "front-kingston-1", store_address, MACHINE)?;
    fleet.record("the node is started");
    let started_at = Instant::now();
    let until = started_at + OBSERVATION;
    let mut served = 0;
    let mut number = 0;
    while Instant::now() < until {
        thread::sleep(Duration::from_millis(50));
        if has_trouble
            && started_at.elapsed() >= CRASH_AT
            && let Some(head) = fleet.engine(HEAD)
        {
            head.crash();
        }
        number += 1;
        let id = format!("s{number}");
        let status = ask_for_stream(node.caller, &id, SMALL);
        if status.as_ref().is_ok_and(|status| *status == 200) {
            served += 1;
        }
        fleet.record(&format!("consumer: stream {id}: {status:?}"));
    }
    let has_ended = node.child.try_wait()?.is_some();
    drop(node);
    let violations = fleet.violations.lock().unwrap().clone();
    let mut text = format!("trouble {has_trouble}\n{served} of {number} streams served\n");
    for violation in &violations {
        let _ = writeln!(text, "TWO: {violation}");
    }
    for event in fleet.events.lock().unwrap().iter() {
        let _ = writeln!(text, "{event}");
    }
    fs::write(record, text)?;
    if has_ended || served == 0 {
        return Err(io::Error::other(
            "the node has ended, or no stream was served",
        ));
    }
    Ok(if violations.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}

fn catalog() -> serde_json::Value {
    json!({
        "version": 3,
        "routes": [{
            "name": "r-menu", "host": HOST, "prefix": "/menu/", "kind": "streaming",
            "timeoutMs": 8000, "targetLatencyMs": 500, "priority": 1, "service": SERVICE,
            "maxAttempts": 2, "allowAnonymous": false, "sticky": true, "resumable": true,
            "gapAimMs": 300,
        }],
        "services": [{
            "name": SERVICE, "healthPath": "/health", "maxConnections": 474, "protocol": "h1",
            "tls": false, "warmupS": 0, "coldPerS": 0,
            "engine": {
                "slots": 26, "kvTokenCapacity": 1_400_000, "kvTokenBytes": 35136.0, "stride": 5,
                "models": [
                    {"name": LARGE, "size": 4, "share": 0.8, "pace": 1.0, "loadS": 16.0, "warmS": 1.1},
                    {"name": SMALL, "size": 2, "share": 0.2, "pace": 1.0, "loadS": 12.0, "warmS": 1.1},
                ],
                "step_ms": 6.07, "per_seq_ms": 0.241, "context_per_k": 0.00488,
                "read_per_s": 46000.0, "pairs_per_m": 0.7, "chunk": 2048, "report_lag_ms": 200.0,
                "loadsPerS": 4.0, "loads_at_once": 6, "keeps": 1, "far_x": 4.0, "formMs": 300.0,
            },
        }],
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 4_194_304, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "hule930", "apiKeys": [KEY]}],
    })
}
