//! [`CutLane`]: one way in which the answers of an instance are cut, and the requests that meet it.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use cuminlb_native_standins::Fleet;
use serde_json::{Value, json};

use crate::answering_worker::{Answer, AnswerEnd, AnsweringWorker, WorkerRequest};
use crate::cut_answer::{Content, CutAnswer, Expected, Framing};
use crate::native_site::{HOST, NativeSite};
use crate::raw_response::{RawResponse, send_raw};

/// The start of the ids of requests that are answered in full.
const WHOLE: &str = "w";

/// How often a request is sent at most until it is sent on a reused connection.
const MAX_TRIES: usize = 5;

/// The kind of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Idempotent,
    AtMostOnce,
    Stream,
    ResumableStream,
}

impl Kind {
    const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    const fn name(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::AtMostOnce => "non_idempotent",
            Self::Stream | Self::ResumableStream => "streaming",
        }
    }
}

/// When the answers of a lane are cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exchange {
    /// On the first exchange of a connection.
    First,
    /// On a connection that has carried a whole exchange.
    Reused,
    /// When the next instance resumes a stream that broke off after two events.
    Resumed,
}

/// One way in which the answers of an instance are cut.
#[derive(Clone, Copy, Debug)]
pub struct CutLane {
    pub number: usize,
    pub kind: Kind,
    pub exchange: Exchange,
    pub framing: Framing,
    pub end: AnswerEnd,
}

impl CutLane {
    pub fn service(self) -> String {
        format!("cut{}", self.number)
    }

    fn prefix(self) -> String {
        format!("/cut{}/", self.number)
    }

    /// Returns the route to the service of the lane.
    pub fn route(self) -> Value {
        json!({
            "name": self.service(), "host": HOST, "prefix": self.prefix(),
            "kind": self.kind.name(), "resumable": self.kind == Kind::ResumableStream,
            "timeoutMs": 8000, "targetLatencyMs": 100, "priority": 1, "service": self.service(),
            "maxAttempts": 2, "gapAimMs": 25,
        })
    }

    /// Starts the instances of the lane.
    pub async fn start_workers(self, fleet: &Fleet) -> Vec<AnsweringWorker> {
        let runs: Arc<Mutex<HashMap<String, usize>>> = Arc::default();
        let mut workers = Vec::new();
        for number in 0..self.runs() {
            let runs = Arc::clone(&runs);
            let respond = move |request: &WorkerRequest| {
                let mut runs = runs.lock().unwrap();
                let run = runs.entry(request.id.clone()).or_default();
                *run += 1;
                self.respond(&request.id, *run)
            };
            let id = format!("{}-{number}", self.service());
            workers.push(AnsweringWorker::start(fleet, &id, &self.service(), respond).await);
        }
        workers
    }

    fn respond(self, id: &str, run: usize) -> Answer {
        if id.starts_with(WHOLE) {
            let whole = CutAnswer::new(id, Framing::Chunked, AnswerEnd::Keep, self.content());
            return whole.until(whole.len());
        }
        if self.exchange == Exchange::Resumed && run == 1 {
            let events = Content::Events(1..=2);
            let broken = CutAnswer::new(id, Framing::Chunked, AnswerEnd::Close, events);
            return broken.until(broken.len() - 1);
        }
        let cut = id.rsplit('-').next().unwrap().parse().unwrap();
        self.answer(id).until(cut)
    }

    /// Returns how often a request runs, each time at another instance.
    const fn runs(self) -> usize {
        match self.exchange {
            Exchange::First | Exchange::Reused => 1,
            Exchange::Resumed => 2,
        }
    }

    fn content(self) -> Content {
        match (self.kind, self.exchange) {
            (Kind::Idempotent | Kind::AtMostOnce, _) => Content::Plain,
            (_, Exchange::Resumed) => Content::Events(3..=4),
            _ => Content::Events(1..=2),
        }
    }

    /// Returns the answer to a request, which is cut.
    fn answer(self, id: &str) -> CutAnswer {
        CutAnswer::new(id, self.framing, self.end, self.content())
    }

    /// Cuts the answer after every byte, and returns what was wrong with what the caller received.
    pub async fn run(self, site: &NativeSite, workers: &[AnsweringWorker]) -> Vec<String> {
        let len = self.answer("c-0-0000").len();
        let mut faults = Vec::new();
        for cut in 0..=len {
            let (id, response) = self.send_cut(site, workers, cut).await;
            let requests: Vec<_> = workers.iter().flat_map(AnsweringWorker::requests).collect();
            let runs = requests.iter().filter(|it| it.id == id).count();
            if let Some(fault) = self.fault(&id, cut, runs, &response) {
                faults.push(format!("{self:?} cut {cut}: {fault}: {}", response.text));
            }
        }
        faults
    }

    /// Sends a request whose answer is cut, on a connection of the kind that the lane is about.
    async fn send_cut(
        self,
        site: &NativeSite,
        workers: &[AnsweringWorker],
        cut: usize,
    ) -> (String, RawResponse) {
        for number in 0..MAX_TRIES {
            if self.exchange == Exchange::Reused {
                let id = format!("{WHOLE}-{number}-{cut:04}");
                let whole = send_raw(site, &self.prefix(), &id).await;
                assert!(whole.complete_body().is_some(), "{self:?} {}", whole.text);
            }
            let id = format!("c-{number}-{cut:04}");
            let response = send_raw(site, &self.prefix(), &id).await;
            let requests = workers[0].requests();
            let request = requests.iter().find(|it| it.id == id);
            let is_reused = request.is_some_and(|it| it.number_on_connection > 0);
            if self.exchange == Exchange::Resumed
                || is_reused == (self.exchange == Exchange::Reused)
            {
                return (id, response);
            }
        }
        panic!("{self:?}: no request was sent on a connection of this kind");
    }

    /// Returns what is wrong with what a caller has received, if anything.
    fn fault(self, id: &str, cut: usize, runs: usize, response: &RawResponse) -> Option<String> {
        if runs != self.runs() {
            return Some(format!("sent {runs} times"));
        }
        let expected = self.answer(id).expected(cut);
        // A stream that is aborted before its first event may end without its head.
        if response.text.is_empty() && self.kind.is_stream() && expected == Expected::Failure {
            return None;
        }
        if response.text.matches("HTTP/1.1").count() != 1 {
            return Some("not one head".to_owned());
        }
        let status = response.status();
        if status.is_none_or(|status| ![200, 502, 504].contains(&status)) {
            return Some("an untrue status".to_owned());
        }
        let body = response.complete_body().filter(|_| status == Some(200));
        let before = if self.exchange == Exchange::Resumed {
            "id: 1\ndata: p1\n\nid: 2\ndata: p2\n\n"
        } else {
            ""
        };
        let is_expected = match expected {
            Expected::Failure => body.is_none(),
            Expected::Success(rest) => body == Some(format!("{before}{rest}")),
            Expected::Either(rest) => body.is_none_or(|body| body == format!("{before}{rest}")),
        };
        if !is_expected {
            return Some("not what was expected".to_owned());
        }
        let ids = response.event_ids();
        let is_in_order = ids.iter().copied().eq(1..=ids.len() as u64);
        (!is_in_order).then(|| "events are missing".to_owned())
    }
}
