//! [`StoppingSite`]: a site whose only node is asked to stop.

use std::time::Duration;

use nix::sys::signal::Signal;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::answering_site::{ANSWERING, answering_site, wait_rows_read};
use crate::answering_worker::{Answer, AnswerEnd, AnsweringWorker, WorkerRequest, complete_text};
use crate::native_site::NativeSite;
use crate::raw_caller::{RawCaller, RawResponse, request_head};

/// The time from the signal until the process would be killed.
pub const GRACE: Duration = Duration::from_millis(6_000);

/// The part of the grace at whose start the longest requests may still be at work.
pub const LAST_SIXTH: Duration = Duration::from_millis(5_000);

/// How long a slow worker takes for a request: longer than the rest of the grace of a late one.
pub const LONG_WORK: Duration = Duration::from_millis(2_000);

/// A bound on the refusal of a request of which the node knows at the signal that it can't serve it.
pub const KNOWN_AT_ONCE: Duration = Duration::from_millis(1_500);

/// Longer than the grace.
pub const NEVER: Duration = Duration::from_secs(20);

/// The head of a stream of two events, and these.
pub const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-seal: s\r\n\
     content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n\
     11\r\nid: 1\ndata: one\n\n\r\n";
pub const STREAM_REST: &str = "11\r\nid: 2\ndata: two\n\n\r\n0\r\n\r\n";

/// The response of a worker that takes `work` for a request.
pub fn answer_after(work: Duration) -> Answer {
    Answer::new("", AnswerEnd::Keep).and_then(work, complete_text(200, "", "done"))
}

/// A stream whose second event follows its first one after `pause`.
pub fn stream_over(pause: Duration) -> Answer {
    Answer::new(STREAM_HEAD, AnswerEnd::Keep).and_then(pause, STREAM_REST)
}

/// A worker that resets the connection after a time without a response.
pub fn reset_after(time: Duration) -> Answer {
    Answer::new("", AnswerEnd::Reset).and_then(time, "")
}

/// A site with one node and one answering worker.
pub struct StoppingSite {
    pub site: NativeSite,
    pub worker: AnsweringWorker,
    pub signaled_at: Instant,
}

impl StoppingSite {
    pub async fn start(
        respond: impl Fn(&WorkerRequest) -> Answer + Send + Sync + 'static,
    ) -> StoppingSite {
        let site = answering_site(1).await;
        let worker = AnsweringWorker::start(&site.fleet, "k0", ANSWERING, respond).await;
        wait_rows_read(&site).await;
        Self {
            site,
            worker,
            signaled_at: Instant::now(),
        }
    }

    pub async fn connect(&self) -> RawCaller {
        RawCaller::connect(&self.site.nodes[0]).await
    }

    /// Sends the signal to stop.
    pub fn stop(&mut self) {
        self.site.nodes[0].process.signal(Signal::SIGTERM);
        self.signaled_at = Instant::now();
    }

    /// Waits until a time after the signal.
    pub async fn wait_until(&self, after_signal: Duration) {
        sleep_until(self.signaled_at + after_signal).await;
    }

    /// Reads a response, which must come before the process would be killed.
    pub async fn read_in_time(&self, caller: &mut RawCaller) -> RawResponse {
        let response = caller.read_response().await;
        let elapsed = self.signaled_at.elapsed();
        let log = self.site.nodes[0].process.log();
        let response = response.unwrap_or_else(|| panic!("cut after {elapsed:?}\n{log}"));
        assert!(elapsed < GRACE, "{elapsed:?}: {response:?}");
        response
    }

    /// Returns how often the worker has received a request.
    pub fn received(&self, id: &str) -> usize {
        let requests = self.worker.requests();
        requests.iter().filter(|request| request.id == id).count()
    }

    /// Checks that a response says truthfully that a request has not run.
    pub fn assert_not_run(&self, response: &RawResponse, id: &str) {
        assert_eq!(response.status, 503, "{response:?}");
        assert!(response.head.contains("retry-after: "), "{response:?}");
        assert!(response.head.contains("connection: close"), "{response:?}");
        assert_eq!(self.received(id), 0, "the request was passed on");
    }

    /// Waits for the end of the process, and returns how long after the signal it was.
    pub async fn wait_ended(&mut self) -> Duration {
        let ended = timeout(NEVER, self.site.nodes[0].process.wait()).await;
        assert!(ended.unwrap().unwrap().success());
        self.signaled_at.elapsed()
    }
}

/// Returns a request with a body.
pub fn request_with_body(path: &str, id: &str, body: &str) -> String {
    let rest = format!("content-length: {}\r\n\r\n{body}", body.len());
    request_head("POST", path, id, &rest)
}

/// The worker of a stream that ends 4.9 s after its begin and of plain requests that take long.
pub fn long_stream_and_work(request: &WorkerRequest) -> Answer {
    if request.id.starts_with("stream") {
        stream_over(Duration::from_millis(4_900))
    } else {
        answer_after(LONG_WORK)
    }
}

/// Writes another grace into the settings file of a node.
pub fn write_grace(site: &StoppingSite, grace: &str) {
    let node = &site.site.nodes[0];
    let text = std::fs::read_to_string(&node.settings).unwrap();
    let text = text.replace("grace = \"6s\"", &format!("grace = \"{grace}\""));
    std::fs::write(&node.settings, text).unwrap();
}

/// Changes the grace in the settings of a running node.
pub async fn change_grace(site: &StoppingSite, grace: &str) {
    write_grace(site, grace);
    site.site.nodes[0].process.signal(Signal::SIGHUP);
    sleep(Duration::from_millis(500)).await;
}
