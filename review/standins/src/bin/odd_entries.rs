//! Case 1: entries of another writer fill a page of the table of the workers, and all processes are
//! killed.
//!
//! The project's stand-in of the store doesn't divide a table into pages. This program stands before
//! it and divides its tables as the page says: at most 500 rows or 1 MB a response, `morePages`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cuminlb_native_standins::{Fleet, PlainWorker, Store};
use cuminlb_review::{Case, HOST, KEY, read_response, write_node_settings};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// `rowBytes` of suva-oars.
const ROW_BYTES: usize = 65_536;
/// The entries of the other writer.
const ODD_ENTRIES: usize = 13;
/// What a response holds at most.
const PAGE_ROWS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;
/// `recoverS` of suva-oars.
const RECOVER: Duration = Duration::from_secs(12);
/// How long requests are judged after that.
const JUDGED: Duration = Duration::from_secs(8);
const NODES: usize = 2;

fn manifest() -> Value {
    json!({
        "version": 1,
        "routes": [{
            "name": "lookup", "host": HOST, "prefix": "/lookup/", "kind": "idempotent",
            "timeoutMs": 1000, "targetLatencyMs": 150, "priority": 1, "service": "desk",
            "maxAttempts": 2,
        }],
        "services": [{"name": "desk", "maxConnections": 110, "warmupS": 0, "coldPerS": 0}],
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 4_194_304, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "rowers", "apiKeys": [KEY]}],
    })
}

/// One message: its head without the blank line, and its body.
async fn read_message(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut bytes = Vec::new();
    let mut part = vec![0; 65_536];
    loop {
        let end = bytes.windows(4).position(|window| window == b"\r\n\r\n");
        if let Some(end) = end {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let length = header(&head, "content-length");
            let length = length.and_then(|length| length.parse().ok()).unwrap_or(0);
            while bytes.len() < end + 4 + length {
                match stream.read(&mut part).await {
                    Ok(0) | Err(_) => return None,
                    Ok(len) => bytes.extend_from_slice(&part[..len]),
                }
            }
            return Some((head, bytes[end + 4..end + 4 + length].to_vec()));
        }
        match stream.read(&mut part).await {
            Ok(0) | Err(_) => return None,
            Ok(len) => bytes.extend_from_slice(&part[..len]),
        }
    }
}

fn header(head: &str, wanted: &str) -> Option<String> {
    head.lines().skip(1).find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case(wanted)
            .then(|| value.trim().to_owned())
    })
}

/// The value of a parameter of a query.
fn parameter(target: &str, wanted: &str) -> Option<String> {
    let (_, query) = target.split_once('?')?;
    query.split('&').find_map(|pair| {
        let (name, value) = pair.split_once('=')?;
        (name == wanted).then(|| value.to_owned())
    })
}

/// Divides the rows of a whole table into pages and returns the one that begins at `from`.
fn page(table: &[u8], target: &str) -> Vec<u8> {
    let mut table: Value = serde_json::from_slice(table).unwrap();
    let from = parameter(target, "from").unwrap_or_default();
    let limit = parameter(target, "limit").and_then(|limit| limit.parse().ok());
    let limit = limit.unwrap_or(PAGE_ROWS).min(PAGE_ROWS);
    let rows = table["rows"].as_array().cloned().unwrap_or_default();
    let key = |row: &Value| row["key"].as_str().unwrap_or_default().to_owned();
    let sorted: BTreeMap<String, Value> = rows.into_iter().map(|row| (key(&row), row)).collect();
    let mut chosen = Vec::new();
    let mut bytes = 0;
    let mut has_more = false;
    for (_, row) in sorted.range(from..) {
        bytes += row.to_string().len();
        if chosen.len() == limit || bytes > PAGE_BYTES {
            has_more = true;
            break;
        }
        chosen.push(row.clone());
    }
    table["rows"] = Value::Array(chosen);
    table["morePages"] = Value::Bool(has_more);
    table.to_string().into_bytes()
}

/// Passes the calls on one channel to the project's stand-in, and divides what it reads into pages.
async fn serve_store(mut stream: TcpStream, backend: SocketAddr, case: Arc<Case>) {
    while let Some((head, body)) = read_message(&mut stream).await {
        let target = head.split(' ').nth(1).unwrap_or_default().to_owned();
        let Ok(mut inner) = TcpStream::connect(backend).await else {
            return;
        };
        let call = format!("{head}\r\n\r\n").into_bytes();
        if inner.write_all(&[call, body].concat()).await.is_err() {
            return;
        }
        let Some((answer, mut body)) = read_message(&mut inner).await else {
            return;
        };
        if target.starts_with("/rows-get") && answer.contains(" 200 ") {
            body = page(&body, &target);
            let rows: Value = serde_json::from_slice(&body).unwrap();
            if parameter(&target, "table").as_deref() == Some("servers") {
                case.note(&format!(
                    "store: {target}: {} rows, morePages {}",
                    rows["rows"].as_array().map_or(0, Vec::len),
                    rows["morePages"]
                ));
            }
        }
        let status = answer.lines().next().unwrap_or_default();
        let mut text = format!("{status}\r\nContent-Length: {}\r\n", body.len());
        for name in ["content-type", "store-era"] {
            if let Some(value) = header(&answer, name) {
                text.push_str(&format!("{name}: {value}\r\n"));
            }
        }
        text.push_str("\r\n");
        if stream
            .write_all(&[text.into_bytes(), body].concat())
            .await
            .is_err()
        {
            return;
        }
    }
}

/// Asks a node for one lookup on a new channel.
async fn look_up(case: &Case, address: SocketAddr) -> Option<u16> {
    let id = case.id();
    let request = format!(
        "GET /lookup/boats HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Ms: 1000\r\nAuthorization: Token {KEY}\r\n\r\n"
    );
    let asked = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(request.as_bytes()).await.ok()?;
        read_response(&mut stream).await
    };
    timeout(Duration::from_secs(2), asked).await.ok()?
}

/// Sends lookups to all nodes for a time; returns how many were sent and served.
async fn ask_all(case: &Case, addresses: &[SocketAddr], time: Duration) -> (u32, u32) {
    let (mut sent, mut served) = (0, 0);
    let mut statuses = BTreeMap::<String, u32>::new();
    let start = Instant::now();
    while start.elapsed() < time {
        for address in addresses {
            let status = look_up(case, *address).await;
            sent += 1;
            served += u32::from(status == Some(200));
            let name = status.map_or("no answer".to_owned(), |status| status.to_string());
            *statuses.entry(name).or_default() += 1;
        }
        sleep(Duration::from_millis(100)).await;
    }
    case.note(&format!(
        "lookups: {sent} sent, {served} served; {statuses:?}"
    ));
    (sent, served)
}

#[tokio::main]
async fn main() {
    let (case, setting) = Case::from_arguments();
    let case = Arc::new(case);
    case.end_in_time();
    let fleet = Fleet::default();
    let mut workers = Vec::new();
    for id in ["i-02d9e6b4", "i-7f3a91c2", "i-9b20c5de"] {
        let (work, failures) = (Duration::from_millis(30), Arc::default());
        let worker = PlainWorker::start(&fleet, id, "desk", "za", work, failures);
        workers.push(worker.await.unwrap());
    }
    fleet.rows.put("op", "config", &manifest());
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let backend = Store::start(fleet.rows.clone(), any).await.unwrap();
    let listener = TcpListener::bind(any).await.unwrap();
    let store = listener.local_addr().unwrap();
    let (inner, log) = (backend.address(), Arc::clone(&case));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_store(stream, inner, Arc::clone(&log)));
        }
    });

    let prefix = setting.ip.rsplit_once('.').unwrap().0;
    let ips: Vec<String> = (0..NODES)
        .map(|node| format!("{prefix}.{}", 40 + node))
        .collect();
    let mut settings = Vec::new();
    for (node, ip) in ips.iter().enumerate() {
        let name = format!("front-za-{}", node + 1);
        settings.push(write_node_settings(&setting, store, &name, ip));
    }
    let addresses: Vec<SocketAddr> = ips
        .iter()
        .map(|ip| format!("{ip}:8227").parse().unwrap())
        .collect();
    let start_all = || {
        for file in &settings {
            case.start_node(&setting, file);
        }
    };
    start_all();
    let mut are_serving = false;
    for _ in 0..200 {
        sleep(Duration::from_millis(100)).await;
        let mut served = 0;
        for address in &addresses {
            served += usize::from(look_up(&case, *address).await == Some(200));
        }
        if served == NODES {
            are_serving = true;
            break;
        }
    }
    if !are_serving {
        case.end(2, "not run: the nodes serve nothing");
    }
    case.note("all nodes serve");
    ask_all(&case, &addresses, Duration::from_secs(2)).await;
    if setting.has_trouble {
        for number in 0..ODD_ENTRIES {
            let key = format!("copy {number:02} of i-7f3a91c2");
            fleet.rows.put_bytes("servers", &key, &[0xff; ROW_BYTES]);
        }
        case.note(&format!(
            "another writer: {ODD_ENTRIES} entries of {ROW_BYTES} bytes that can't be read"
        ));
    }
    let (sent, served) = ask_all(&case, &addresses, Duration::from_secs(4)).await;
    if served * 4 < sent {
        case.end(
            2,
            "not run: less than a quarter was served before the fault",
        );
    }
    case.kill_nodes();
    case.note("platform: all processes killed");
    sleep(Duration::from_millis(700)).await;
    start_all();
    ask_all(&case, &addresses, RECOVER).await;
    case.note("the time of recovery is over");
    let (sent, served) = ask_all(&case, &addresses, JUDGED).await;
    if served * 4 < sent {
        case.end(1, "RECOVER is broken");
    }
    case.end(0, "held");
}
