//! Workers of a service whose workers serve on their own: sound ones, and ones whose streams never end.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::json;

use crate::http::{Handler, Request, respond, serve};
use crate::store::Store;

/// The body of a plain answer, in bytes.
const PLAIN_BODY_BYTES: usize = 800;

/// What a worker answers on a stream route.
#[derive(Clone, Copy, Debug)]
pub enum Streams {
    /// `events` events of `bytes` bytes, one each `pause`, and the end.
    Sound {
        events: usize,
        bytes: usize,
        pause: Duration,
    },
    /// Bytes that are no answer, in the body, until the caller closes; a blank line comes each `bytes`.
    Endless { bytes: usize },
}

/// A worker.
#[derive(Debug)]
pub struct Worker {
    id: String,
    born_ms: u64,
    streams: Streams,
    /// The ids of the requests that began to run here.
    pub runs: Arc<Mutex<Vec<String>>>,
}

impl Worker {
    /// Starts a worker and registers it in the store.
    pub fn start(
        store: &Store,
        id: &str,
        service: &str,
        zone: &str,
        streams: Streams,
        runs: Arc<Mutex<Vec<String>>>,
    ) -> io::Result<SocketAddr> {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let born_ms = since_epoch.map_or(0, |time| time.as_millis() as u64);
        let worker = Arc::new(Self {
            id: id.to_owned(),
            born_ms,
            streams,
            runs,
        });
        let address = serve("127.0.0.1", worker)?;
        let entry = json!({
            "service": service, "address": address.to_string(), "zone": zone, "version": "1",
            "slots": 20, "state": "ready", "warmupRemainingMs": 0, "sequence": 1, "born": born_ms,
        });
        store.put("servers", id, &entry);
        Ok(address)
    }

    fn stream(&self, id: &str, stream: &mut TcpStream) -> io::Result<bool> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-seal: 3e1b.{}\r\n\
             content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
            self.id
        );
        stream.write_all(head.as_bytes())?;
        match self.streams {
            Streams::Sound {
                events,
                bytes,
                pause,
            } => {
                for number in 1..=events {
                    let event = format!("id: {number}\ndata: {}\n\n", "t".repeat(bytes));
                    write_chunk(stream, event.as_bytes())?;
                    std::thread::sleep(pause);
                }
                stream.write_all(b"0\r\n\r\n")?;
                Ok(true)
            }
            Streams::Endless { bytes } => {
                let junk = format!("{}\n\n", "data: ?\n".repeat(bytes / 8));
                loop {
                    write_chunk(stream, junk.as_bytes())?;
                }
            }
        }
    }
}

fn write_chunk(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    let size = format!("{:x}\r\n", bytes.len());
    stream.write_all(&[size.as_bytes(), bytes, b"\r\n"].concat())
}

impl Handler for Worker {
    fn handle(&self, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        let id = request.header("x-attempt-id").unwrap_or_default();
        let expected = request.header("x-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let headers = format!("x-attempt-id: {id}\r\nx-not-executed: 1\r\n");
            respond(stream, "421 Misdirected Request", &headers, b"")?;
            return Ok(true);
        }
        match request.path.as_str() {
            "/report" => {
                let report = json!({
                    "stage": "prefill_decode", "models": [], "busy": false, "sequence": 1,
                    "waiting": 0, "running": 0, "kvUsed": 0, "kvTotal": 1, "handles": 0,
                    "born": self.born_ms,
                });
                let headers = "content-type: application/json\r\n";
                respond(stream, "200 OK", headers, report.to_string().as_bytes())?;
            }
            "/health" => {
                let headers = format!("x-instance-id: {}\r\n", self.id);
                respond(stream, "200 OK", &headers, b"")?;
            }
            _ if id.is_empty() => {
                respond(stream, "400 Bad Request", "x-not-executed: 1\r\n", b"")?;
            }
            path => {
                self.runs.lock().unwrap().push(id.to_owned());
                if path.starts_with("/menu/") {
                    return self.stream(id, stream);
                }
                std::thread::sleep(Duration::from_millis(15));
                let headers = format!(
                    "x-attempt-id: {id}\r\nx-response-seal: 3e1b.{}\r\nkeep-alive: timeout=5\r\n",
                    self.id
                );
                respond(stream, "200 OK", &headers, &[b'h'; PLAIN_BODY_BYTES])?;
            }
        }
        Ok(true)
    }
}
