//! [`ObservedCall`]: a request of one of the usual kinds, and what its caller saw.

use std::time::Duration;

use cuminlb_test_support::{HttpResponse, SiteError};
use futures_util::future::join_all;
use http::{Method, StatusCode};
use tokio::time::{Instant, sleep};

use crate::native_site::{
    LOOKUP_PATH, MODEL, NativeSite, RESERVE_PATH, STREAM_PATH, TEAM, event_ids,
};

/// The number of events of a stream.
const EVENTS: u64 = 5;

/// The part that the prompts of all streams begin with.
const SHARED_PART: &str = "feed01:800";

/// The kinds of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A stream, which may be resumed.
    Stream,
    /// An idempotent request.
    Lookup,
    /// A request that may be executed once at most.
    Reserve,
}

impl CallKind {
    pub const ALL: [Self; 3] = [Self::Stream, Self::Lookup, Self::Reserve];
}

/// A request that was sent, and what its caller saw.
#[derive(Debug)]
pub struct ObservedCall {
    pub id: String,
    pub kind: CallKind,
    pub response: Result<HttpResponse, SiteError>,
    pub elapsed: Duration,
}

impl ObservedCall {
    /// Sends a request to a node and waits for the response.
    pub async fn send(site: &NativeSite, node: usize, kind: CallKind, id: String) -> Self {
        let start = Instant::now();
        let response = match kind {
            CallKind::Stream => {
                let parts = format!("{SHARED_PART},{id}:100");
                let headers = [
                    ("x-model", MODEL),
                    ("x-token-count", "900,20"),
                    ("x-prompt-prefix", parts.as_str()),
                ];
                let events = EVENTS.to_string();
                site.send(node, Method::POST, STREAM_PATH, &id, &headers, &events)
                    .await
            }
            CallKind::Lookup => {
                site.send(node, Method::GET, LOOKUP_PATH, &id, &[], "")
                    .await
            }
            CallKind::Reserve => {
                site.send(node, Method::POST, RESERVE_PATH, &id, &[], "{}")
                    .await
            }
        };
        Self {
            id,
            kind,
            response,
            elapsed: start.elapsed(),
        }
    }

    /// Sends `count` requests of each kind to a node, with a pause between those of a kind.
    pub async fn send_all(
        site: &NativeSite,
        node: usize,
        name: &str,
        count: u32,
        pause: Duration,
    ) -> Vec<Self> {
        let kinds = CallKind::ALL;
        let calls = (0..count).flat_map(|number| kinds.map(|kind| (number, kind)));
        let calls = calls.map(|(number, kind)| async move {
            sleep(pause * number).await;
            let id = format!("{name}-{node}-{kind:?}-{number}");
            Self::send(site, node, kind, id).await
        });
        join_all(calls).await
    }

    /// Returns the status; `None` if there was no complete response.
    pub fn status(&self) -> Option<StatusCode> {
        self.response.as_ref().ok().map(|response| response.status)
    }

    /// Returns whether the caller got the whole response of an instance.
    pub fn is_served(&self) -> bool {
        let Ok(response) = &self.response else {
            return false;
        };
        let is_body_whole = match self.kind {
            CallKind::Stream => event_ids(response).into_iter().eq(1..=EVENTS),
            CallKind::Lookup | CallKind::Reserve => {
                let text = response.text();
                text.starts_with("answer of p") && text.ends_with(&format!(" for {TEAM}"))
            }
        };
        response.status == StatusCode::OK
            && response.headers.contains_key("x-response-seal")
            && is_body_whole
    }

    /// Checks that the request was executed once at most if it may not be executed again, and not
    /// at all if the response says so.
    pub fn assert_executed_as_told(&self, site: &NativeSite) {
        let runs = site.fleet.runs.workers_of(&self.id);
        if self.kind == CallKind::Reserve {
            assert!(runs.len() <= 1, "{} ran at {runs:?}", self.id);
        }
        let says_not_run = self.status().is_some_and(|status| {
            status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS
        });
        assert!(
            !says_not_run || runs.is_empty() || self.kind != CallKind::Reserve,
            "{} was refused and ran at {runs:?}",
            self.id
        );
    }

    /// Returns a line for the message of a failed check.
    pub fn summary(&self) -> String {
        let seen = match &self.response {
            Ok(response) if response.status == StatusCode::OK => {
                format!("200 {:?}", response.text())
            }
            Ok(response) => format!("{} {}", response.status.as_u16(), response.text()),
            Err(error) => error.to_string(),
        };
        format!("{} after {:?}: {seen}", self.id, self.elapsed)
    }
}

/// Returns the calls of a kind.
pub fn calls_of(calls: &[ObservedCall], kind: CallKind) -> Vec<&ObservedCall> {
    calls.iter().filter(|call| call.kind == kind).collect()
}

/// Checks that at least a number of the calls of each kind were served.
pub fn assert_served(calls: &[ObservedCall], minimum: usize) {
    let served = CallKind::ALL.map(|kind| {
        let calls = calls_of(calls, kind);
        calls.iter().filter(|call| call.is_served()).count()
    });
    let failed = calls.iter().filter(|call| !call.is_served());
    let lines: Vec<String> = failed.map(ObservedCall::summary).collect();
    assert!(
        served.iter().all(|served| *served >= minimum),
        "{served:?} of {minimum} or more of {:?} served\n{}",
        CallKind::ALL,
        lines.join("\n")
    );
}
