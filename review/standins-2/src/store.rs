//! The platform's store: versioned rows, conditional writes, pages and a feed.

use std::collections::BTreeMap;
use std::io;
use std::net::TcpStream;
use std::sync::{Condvar, Mutex};
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

use crate::http::{Handler, Request, respond};

/// The most rows of one page, and the most bytes.
const PAGE_ROWS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

/// The headers of all responses.
const HEADERS: &str = "content-type: application/json\r\nstore-era: 0\r\n";

/// A row; one without a value was removed.
#[derive(Clone, Debug)]
struct Row {
    version: u64,
    value: Option<Vec<u8>>,
}

#[derive(Debug, Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<(String, String), Row>,
}

/// The store. All rows have an empty part.
#[derive(Debug)]
pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    started_at: Instant,
}

impl Store {
    pub fn new() -> Self {
        Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            started_at: Instant::now(),
        }
    }

    /// Writes a row of the operator or of a worker.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let value = Some(value.to_string().into_bytes());
        rows.rows
            .insert((table.to_owned(), key.to_owned()), Row { version, value });
        self.changed.notify_all();
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let value = None;
        rows.rows
            .insert((table.to_owned(), key.to_owned()), Row { version, value });
        self.changed.notify_all();
    }

    fn answer(&self, version: u64, mut fields: Value) -> Value {
        fields["ver"] = version.into();
        fields["nowMs"] = (self.started_at.elapsed().as_millis() as u64).into();
        fields
    }

    fn get(&self, request: &Request) -> Value {
        let (table, from, target) = (
            request.param("table"),
            request.param("from"),
            request.param("target"),
        );
        let limit = request.param("limit").parse().unwrap_or(PAGE_ROWS);
        let rows = self.rows.lock().unwrap();
        let in_range = rows.rows.iter().filter(|((of_table, key), row)| {
            let is_before_target = target.is_empty() || key.as_str() < target;
            of_table == table && key.as_str() >= from && is_before_target && row.value.is_some()
        });
        let (mut page, mut bytes, mut has_more) = (Vec::new(), 0, false);
        for ((_, key), row) in in_range {
            let json = row_json(table, key, row);
            bytes += json.to_string().len();
            if !page.is_empty() && (page.len() >= limit.min(PAGE_ROWS) || bytes > PAGE_BYTES) {
                has_more = true;
                break;
            }
            page.push(json);
        }
        self.answer(rows.version, json!({"rows": page, "morePages": has_more}))
    }

    fn feed(&self, request: &Request) -> Value {
        let table = request.param("table");
        let after: u64 = request.param("afterRevision").parse().unwrap_or(0);
        let wait_ms: u64 = request.param("waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut rows = self.rows.lock().unwrap();
        loop {
            let newer = rows
                .rows
                .iter()
                .filter(|((of_table, _), row)| of_table == table && row.version > after);
            let mut newer: Vec<_> = newer.collect();
            newer.sort_by_key(|(_, row)| row.version);
            let now = Instant::now();
            if !newer.is_empty() || now >= until {
                let changes: Vec<Value> = newer
                    .iter()
                    .map(|((_, key), row)| row_json(table, key, row))
                    .collect();
                return self.answer(rows.version, json!({"rows": changes}));
            }
            rows = self.changed.wait_timeout(rows, until - now).unwrap().0;
        }
    }

    fn commit(&self, body: &[u8]) -> Result<Value, Value> {
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        let entries = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let place = |entry: &Value| {
            let text = |name: &str| entry[name].as_str().unwrap_or_default().to_owned();
            (text("table"), text("key"))
        };
        let mut rows = self.rows.lock().unwrap();
        let mut found = Vec::new();
        let mut is_as_expected = true;
        for expected in entries("expectedRevision") {
            let place = place(&expected);
            let row = rows.rows.get(&place).filter(|row| row.value.is_some());
            let version = row.map_or(0, |row| row.version);
            is_as_expected &= Some(version) == expected["ver"].as_u64();
            found.extend(row.map(|row| row_json(&place.0, &place.1, row)));
        }
        if !is_as_expected {
            return Err(self.answer(rows.version, json!({"rows": found})));
        }
        rows.version += 1;
        let version = rows.version;
        for put in entries("puts") {
            let value = put["value"].as_str().unwrap_or_default();
            let value = Some(STANDARD.decode(value).unwrap_or_default());
            rows.rows.insert(place(&put), Row { version, value });
        }
        for removed in entries("remove") {
            let value = None;
            rows.rows.insert(place(&removed), Row { version, value });
        }
        self.changed.notify_all();
        Ok(self.answer(version, json!({})))
    }
}

fn row_json(table: &str, key: &str, row: &Row) -> Value {
    let mut json = json!({"table": table, "part": "", "key": key, "ver": row.version});
    match &row.value {
        Some(value) => json["value"] = STANDARD.encode(value).into(),
        None => json["removed"] = true.into(),
    }
    json
}

impl Handler for Store {
    fn handle(&self, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        let (status, body) = match request.path.as_str() {
            "/rows-get" => ("200 OK", self.get(request)),
            "/rows-feed" => ("200 OK", self.feed(request)),
            "/rows-tx" => match self.commit(&request.body) {
                Ok(body) => ("200 OK", body),
                Err(body) => ("412 Precondition Failed", body),
            },
            _ => ("404 Not Found", json!({})),
        };
        respond(stream, status, HEADERS, body.to_string().as_bytes())?;
        Ok(true)
    }
}
