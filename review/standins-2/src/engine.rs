//! Model workers that form groups, as the pages tell: orders, seats, entries in the store, and a record of
//! joins that break the rule TWO.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use crate::http::{Handler, Request, respond, serve_until, spawn};
use crate::store::Store;

/// The time that a worker takes for an order; it takes one after the other.
const ORDER_TIME: Duration = Duration::from_millis(100);

/// A join of the model of the worker's last group, and from the host, and the opening of a head.
const REJOIN_TIME: Duration = Duration::from_millis(200);
const WARM_TIME: Duration = Duration::from_millis(1_100);
const FORM_TIME: Duration = Duration::from_millis(300);

/// The time after which a head that lacks a member is broken.
pub const STALL_TIME: Duration = Duration::from_millis(6_000);

/// The events of a stream.
const EVENTS: u64 = 5;

/// The entry of a worker that has crashed goes after three heartbeats of 1,200 ms.
const LAPSE: Duration = Duration::from_millis(3_600);

/// What is wrong with a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    None,
    /// It crashes when it is ordered to join a group while it is in one.
    CrashAtRejoin,
    /// It leaves one order to join unanswered and carries it out later: that with which the group that it
    /// is to join changes for the `change`th time.
    LateJoin {
        change: usize,
        delay: Duration,
    },
}

/// A worker's place in a group.
#[derive(Clone, Debug, PartialEq)]
struct Seat {
    group: String,
    epoch: u64,
    members: Vec<String>,
    state: &'static str,
}

#[derive(Debug)]
struct State {
    seat: Option<Seat>,
    latest_epoch: u64,
    last_model: Option<String>,
    sequence: u64,
    /// The group of the last order to join, and how often it was another than before.
    joined: String,
    changes: usize,
    /// Since when the head of an open group stands still.
    still_since: Option<Instant>,
}

/// A model worker.
#[derive(Debug)]
pub struct Engine {
    id: String,
    service: String,
    zone: String,
    model: String,
    born_ms: u64,
    address: Mutex<Option<SocketAddr>>,
    has_crashed: Arc<AtomicBool>,
    trouble: Trouble,
    state: Mutex<State>,
    /// The next number for an order that arrives, and that of the order whose turn it is.
    arrivals: AtomicU64,
    turn: Mutex<u64>,
    turn_ended: Condvar,
    fleet: Arc<Fleet>,
}

/// All model workers, with what has happened.
#[derive(Debug)]
pub struct Fleet {
    pub store: Arc<Store>,
    started_at: Instant,
    engines: Mutex<BTreeMap<String, Arc<Engine>>>,
    pub events: Mutex<Vec<String>>,
    pub violations: Mutex<Vec<String>>,
}

impl Fleet {
    pub fn new(store: Arc<Store>) -> Arc<Self> {
        Arc::new(Self {
            store,
            started_at: Instant::now(),
            engines: Mutex::default(),
            events: Mutex::default(),
            violations: Mutex::default(),
        })
    }

    pub fn record(&self, text: &str) {
        let at = self.started_at.elapsed().as_secs_f64();
        self.events
            .lock()
            .unwrap()
            .push(format!("{at:8.3} s  {text}"));
    }

    pub fn engine(&self, id: &str) -> Option<Arc<Engine>> {
        self.engines.lock().unwrap().get(id).cloned()
    }

    /// Breaks the heads that have stood still for long, until the process ends.
    pub fn watch(self: &Arc<Self>) {
        let fleet = Arc::clone(self);
        spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                let engines: Vec<_> = fleet.engines.lock().unwrap().values().cloned().collect();
                for engine in engines {
                    engine.check_members();
                }
            }
        });
    }
}

impl Engine {
    /// Starts a worker whose host has the weights of `model`, and registers it.
    pub fn start(
        fleet: &Arc<Fleet>,
        id: &str,
        service: &str,
        zone: &str,
        model: &str,
        trouble: Trouble,
    ) -> io::Result<Arc<Self>> {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let engine = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            model: model.to_owned(),
            born_ms: since_epoch.map_or(0, |time| time.as_millis() as u64),
            address: Mutex::new(None),
            has_crashed: Arc::default(),
            trouble,
            state: Mutex::new(State {
                seat: None,
                latest_epoch: 0,
                last_model: None,
                sequence: 0,
                joined: String::new(),
                changes: 0,
                still_since: None,
            }),
            arrivals: AtomicU64::new(0),
            turn: Mutex::new(0),
            turn_ended: Condvar::new(),
            fleet: Arc::clone(fleet),
        });
        let has_crashed = Arc::clone(&engine.has_crashed);
        let address = serve_until("127.0.0.1", Arc::clone(&engine) as _, has_crashed)?;
        *engine.address.lock().unwrap() = Some(address);
        fleet
            .engines
            .lock()
            .unwrap()
            .insert(id.to_owned(), Arc::clone(&engine));
        engine.register();
        Ok(engine)
    }

    /// Ends the worker: it refuses connections and answers nothing. Its entry stays for `LAPSE`.
    pub fn crash(&self) {
        if self.has_crashed.swap(true, Ordering::SeqCst) {
            return;
        }
        self.fleet.record(&format!("{} crashes", self.id));
        // The listener closes with the next connection, which is this one.
        if let Some(address) = *self.address.lock().unwrap() {
            let _refused = TcpStream::connect(address);
        }
        let (fleet, id) = (Arc::clone(&self.fleet), self.id.clone());
        spawn(move || {
            thread::sleep(LAPSE);
            fleet.store.remove("servers", &id);
            fleet.record(&format!("the entry of {id} lapses"));
        });
    }

    fn is_alive(&self) -> bool {
        !self.has_crashed.load(Ordering::SeqCst)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn is_in_group(&self) -> bool {
        let state = self.state();
        state
            .seat
            .as_ref()
            .is_some_and(|seat| seat.members.len() > 1)
    }

    fn seat_json(&self, state: &State) -> Option<Value> {
        let seat = state.seat.as_ref()?;
        let rank = seat.members.iter().position(|member| *member == self.id);
        Some(json!({
            "name": seat.group, "epoch": seat.epoch, "rank": rank, "state": seat.state,
        }))
    }

    /// Writes the entry of the worker.
    fn register(&self) {
        let address = self
            .address
            .lock()
            .unwrap()
            .map(|address| address.to_string());
        let state = self.state();
        let mut entry = json!({
            "service": self.service, "address": address, "zone": self.zone, "version": "1",
            "slots": 26, "state": "ready", "warmupRemainingMs": 0, "sequence": state.sequence,
            "born": self.born_ms, "domain": "d0", "staged": [self.model],
            "stage": "prefill_decode", "models": [],
        });
        if let Some(seat) = self.seat_json(&state) {
            entry["group"] = seat;
        }
        self.fleet.store.put("servers", &self.id, &entry);
    }

    fn report(&self) -> Value {
        let state = self.state();
        let mut report = json!({
            "stage": "prefill_decode", "models": [], "busy": false, "sequence": state.sequence,
            "waiting": 0, "running": 0, "kvUsed": 0, "kvTotal": 1_400_000, "handles": 0,
            "pace": 1.0, "born": self.born_ms, "staged": [self.model], "domain": "d0",
        });
        if let Some(seat) = self.seat_json(&state) {
            report["group"] = seat;
        }
        report
    }

    /// Breaks the group of an open head that lacks a member for long.
    fn check_members(&self) {
        let seat = {
            let state = self.state();
            let is_head = |seat: &&Seat| seat.members[0] == self.id && self.is_alive();
            state.seat.as_ref().filter(is_head).cloned()
        };
        let Some(seat) = seat.filter(|seat| matches!(seat.state, "open" | "closing")) else {
            self.state().still_since = None;
            return;
        };
        let is_whole = seat.members.iter().all(|id| {
            let member = self.fleet.engine(id);
            member.is_some_and(|member| {
                let state = member.state();
                if !member.is_alive() {
                    return false;
                }
                let is_in = |it: &Seat| it.group == seat.group && it.epoch == seat.epoch;
                state.seat.as_ref().is_some_and(is_in)
            })
        });
        let mut state = self.state();
        if is_whole {
            state.still_since = None;
            return;
        }
        let since = *state.still_since.get_or_insert_with(Instant::now);
        if since.elapsed() >= STALL_TIME {
            if let Some(seat) = &mut state.seat {
                seat.state = "broken";
            }
            drop(state);
            self.fleet.record(&format!("{} is broken", seat.group));
            self.register();
        }
    }

    /// Takes an order; returns the status.
    fn take(self: &Arc<Self>, order: &Value) -> u16 {
        let epoch = order["epoch"].as_u64().unwrap_or(0);
        let group = order["group"].as_str().unwrap_or_default().to_owned();
        let operation = order["operation"].as_str().unwrap_or_default();
        let status = match operation {
            "join" => self.join(order, group.clone(), epoch),
            "open" => self.open(&group, epoch),
            "close" => self.close(&group, epoch),
            "leave" => self.leave(&group, epoch),
            "stage" => 200,
            _ => 400,
        };
        let members = order["members"].to_string();
        self.fleet.record(&format!(
            "{} takes the order {operation} {group} (epoch {epoch}, members {members}): {status}",
            self.id
        ));
        status
    }

    fn join(self: &Arc<Self>, order: &Value, group: String, epoch: u64) -> u16 {
        let members = order["members"].as_array().cloned().unwrap_or_default();
        let members: Vec<String> = members
            .iter()
            .filter_map(|member| member.as_str().map(str::to_owned))
            .collect();
        let model = order["model"].as_str().unwrap_or_default().to_owned();
        let seat = Seat {
            group,
            epoch,
            members,
            state: "joining",
        };
        let known = self.state().seat.clone();
        if let Some(known) = &known {
            let is_same = known.group == seat.group && known.epoch == seat.epoch;
            if is_same && known.members == seat.members {
                return 200;
            }
            if is_same {
                return 412;
            }
        }
        if epoch < self.state().latest_epoch {
            return 412;
        }
        if let Some(known) = known.filter(|known| known.group != seat.group) {
            self.check_overlap(&known, &seat);
        }
        let time = {
            let mut state = self.state();
            let is_last = state.last_model.as_deref() == Some(model.as_str());
            state.seat = Some(seat.clone());
            state.latest_epoch = epoch;
            state.last_model = Some(model);
            state.sequence += 1;
            if is_last { REJOIN_TIME } else { WARM_TIME }
        };
        self.register();
        let engine = Arc::clone(self);
        spawn(move || {
            thread::sleep(time);
            engine.enter(&seat, "ready");
        });
        202
    }

    /// Records a join of another group while the head of the worker's group serves or stands still.
    fn check_overlap(&self, known: &Seat, next: &Seat) {
        let head = self.fleet.engine(&known.members[0]);
        let head_state = head.and_then(|head| {
            let seat = head.state().seat.clone().filter(|_| head.is_alive())?;
            let is_known = seat.group == known.group && seat.epoch == known.epoch;
            is_known.then_some(seat.state)
        });
        if let Some(state) = head_state.filter(|state| matches!(*state, "open" | "closing")) {
            let text = format!(
                "{} takes a join of {} (epoch {}) while the head {} of its group {} (epoch {}) is {state}",
                self.id, next.group, next.epoch, known.members[0], known.group, known.epoch
            );
            self.fleet.record(&text);
            self.fleet.violations.lock().unwrap().push(text);
        }
    }

    fn open(self: &Arc<Self>, group: &str, epoch: u64) -> u16 {
        let seat = self.state().seat.clone();
        let Some(seat) = seat.filter(|seat| seat.group == group && seat.epoch == epoch) else {
            return 409;
        };
        match seat.state {
            "open" => return 200,
            "ready" if seat.members[0] == self.id => {}
            _ => return 409,
        }
        self.state().sequence += 1;
        let engine = Arc::clone(self);
        spawn(move || {
            thread::sleep(FORM_TIME);
            engine.enter(&seat, "open");
        });
        202
    }

    fn close(self: &Arc<Self>, group: &str, epoch: u64) -> u16 {
        let seat = self.state().seat.clone();
        let Some(seat) = seat.filter(|seat| seat.group == group && seat.epoch == epoch) else {
            return 409;
        };
        match seat.state {
            "ready" => return 200,
            "open" => {}
            _ => return 409,
        }
        self.state().sequence += 1;
        self.enter(&seat, "ready");
        202
    }

    fn leave(&self, group: &str, epoch: u64) -> u16 {
        {
            let mut state = self.state();
            let is_in = |seat: &Seat| seat.group == group && seat.epoch == epoch;
            if !state.seat.as_ref().is_some_and(is_in) {
                return 409;
            }
            state.seat = None;
            state.sequence += 1;
        }
        self.register();
        200
    }

    /// Enters a state of a seat, unless it was left meanwhile.
    fn enter(&self, seat: &Seat, to: &'static str) {
        {
            let mut state = self.state();
            match &mut state.seat {
                Some(known) if known.group == seat.group && known.epoch == seat.epoch => {
                    known.state = to;
                }
                _ => return,
            }
        }
        self.fleet.record(&format!(
            "{} is {to} in {} (epoch {})",
            self.id, seat.group, seat.epoch
        ));
        self.register();
    }

    fn stream(&self, id: &str, stream: &mut TcpStream) -> io::Result<bool> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-seal: 3e1b.{}\r\n\
             content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
            self.id
        );
        stream.write_all(head.as_bytes())?;
        for number in 1..=EVENTS {
            let event = format!("id: {number}\ndata: t{number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes())?;
            thread::sleep(Duration::from_millis(30));
        }
        stream.write_all(b"0\r\n\r\n")?;
        Ok(true)
    }

    fn end_turn(&self) {
        *self.turn.lock().unwrap() += 1;
        self.turn_ended.notify_all();
    }

    /// Takes an order in its turn, and answers it unless it is the one that is to be late.
    fn handle_order(self: &Arc<Self>, body: &[u8], stream: &mut TcpStream) -> io::Result<bool> {
        let order: Value = serde_json::from_slice(body).unwrap_or_default();
        let number = self.arrivals.fetch_add(1, Ordering::SeqCst);
        let turn = self.turn.lock().unwrap();
        let turn = self.turn_ended.wait_while(turn, |turn| *turn != number);
        drop(turn.unwrap());
        let mut late = None;
        if order["operation"] == "join" {
            if self.trouble == Trouble::CrashAtRejoin && self.is_in_group() {
                self.crash();
                self.end_turn();
                return Ok(false);
            }
            let mut state = self.state();
            let group = order["group"].as_str().unwrap_or_default();
            if state.joined != group {
                state.joined = group.to_owned();
                state.changes += 1;
            }
            if let Trouble::LateJoin { change, delay } = self.trouble {
                late = (state.changes == change).then_some(delay);
                state.changes += usize::from(late.is_some());
            }
        }
        if let Some(delay) = late {
            self.end_turn();
            self.fleet
                .record(&format!("{} leaves an order unanswered: {order}", self.id));
            thread::sleep(delay);
            self.take(&order);
            return Ok(false);
        }
        thread::sleep(ORDER_TIME);
        let status = self.take(&order);
        self.end_turn();
        respond(stream, &format!("{status} Order"), "", b"")?;
        Ok(true)
    }
}

/// A worker as the server of its connections.
impl Handler for Engine {
    fn handle(&self, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        let engine = self
            .fleet
            .engine(&self.id)
            .filter(|engine| engine.is_alive());
        let Some(engine) = engine else {
            return Ok(false);
        };
        let id = request.header("x-attempt-id").unwrap_or_default();
        let expected = request.header("x-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let headers = format!("x-attempt-id: {id}\r\nx-not-executed: 1\r\n");
            respond(stream, "421 Misdirected Request", &headers, b"")?;
            return Ok(true);
        }
        match request.path.as_str() {
            "/order" => return engine.handle_order(&request.body, stream),
            "/report" => {
                let headers = "content-type: application/json\r\n";
                respond(
                    stream,
                    "200 OK",
                    headers,
                    self.report().to_string().as_bytes(),
                )?;
            }
            "/health" => {
                let headers = format!("x-instance-id: {}\r\n", self.id);
                respond(stream, "200 OK", &headers, b"")?;
            }
            _ => {
                let is_open = self
                    .state()
                    .seat
                    .as_ref()
                    .is_some_and(|it| it.state == "open");
                if !is_open {
                    let headers = format!("x-attempt-id: {id}\r\nx-not-executed: 1\r\n");
                    respond(stream, "421 Misdirected Request", &headers, b"")?;
                    return Ok(true);
                }
                return self.stream(id, stream);
            }
        }
        Ok(true)
    }
}
