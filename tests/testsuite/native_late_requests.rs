//! Tests of nodes on the users' platform: requests that are not answered yet late in a planned stop.
//!
//! The nodes of these tests have a grace of 6 s. Each of the callers' requests must be answered, with
//! the truth, before its connection ends; only a stream whose response has begun may be cut.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use cuminlb_standins::Fault;
use futures_util::future::join_all;
use http::StatusCode;
use nix::sys::signal::Signal;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::answering_site::{
    ANSWERING, LOOKUP, RESERVE, STREAM, answering_site, put_answering_catalog, send, wait_rows_read,
};
use crate::answering_worker::{Answer, AnswerEnd, AnsweringWorker, WorkerRequest, complete_text};
use crate::native_site::NativeSite;
use crate::raw_caller::{RawCaller, RawResponse, request_head};

/// The time from the signal until the process would be killed.
const GRACE: Duration = Duration::from_millis(6_000);

/// The part of the grace at whose start the longest requests may still be at work.
const LAST_SIXTH: Duration = Duration::from_millis(5_000);

/// How long a slow worker takes for a request: longer than the rest of the grace of a late one.
const LONG_WORK: Duration = Duration::from_millis(2_000);

/// A bound on the refusal of a request of which the node knows at the signal that it can't serve it.
const KNOWN_AT_ONCE: Duration = Duration::from_millis(1_500);

/// Longer than the grace.
const NEVER: Duration = Duration::from_secs(20);

/// The head of a stream of two events, and these.
const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-seal: s\r\n\
     content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n\
     11\r\nid: 1\ndata: one\n\n\r\n";
const STREAM_REST: &str = "11\r\nid: 2\ndata: two\n\n\r\n0\r\n\r\n";

/// The response of a worker that takes `work` for a request.
fn answer_after(work: Duration) -> Answer {
    Answer::new("", AnswerEnd::Keep).and_then(work, complete_text(200, "", "done"))
}

/// A stream whose second event follows its first one after `pause`.
fn stream_over(pause: Duration) -> Answer {
    Answer::new(STREAM_HEAD, AnswerEnd::Keep).and_then(pause, STREAM_REST)
}

/// A worker that resets the connection after a time without a response.
fn reset_after(time: Duration) -> Answer {
    Answer::new("", AnswerEnd::Reset).and_then(time, "")
}

/// A site with one node and one answering worker.
struct StoppingSite {
    site: NativeSite,
    worker: AnsweringWorker,
    signaled_at: Instant,
}

impl StoppingSite {
    async fn start(
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

    async fn connect(&self) -> RawCaller {
        RawCaller::connect(&self.site.nodes[0]).await
    }

    /// Sends the signal to stop.
    fn stop(&mut self) {
        self.site.nodes[0].process.signal(Signal::SIGTERM);
        self.signaled_at = Instant::now();
    }

    /// Waits until a time after the signal.
    async fn wait_until(&self, after_signal: Duration) {
        sleep_until(self.signaled_at + after_signal).await;
    }

    /// Reads a response, which must come before the process would be killed.
    async fn read_in_time(&self, caller: &mut RawCaller) -> RawResponse {
        let response = caller.read_response().await;
        let elapsed = self.signaled_at.elapsed();
        let log = self.site.nodes[0].process.log();
        let response = response.unwrap_or_else(|| panic!("cut after {elapsed:?}\n{log}"));
        assert!(elapsed < GRACE, "{elapsed:?}: {response:?}");
        response
    }

    /// Returns how often the worker has received a request.
    fn received(&self, id: &str) -> usize {
        let requests = self.worker.requests();
        requests.iter().filter(|request| request.id == id).count()
    }

    /// Checks that a response says truthfully that a request has not run.
    fn assert_not_run(&self, response: &RawResponse, id: &str) {
        assert_eq!(response.status, 503, "{response:?}");
        assert!(response.head.contains("retry-after: "), "{response:?}");
        assert!(response.head.contains("connection: close"), "{response:?}");
        assert_eq!(self.received(id), 0, "the request was passed on");
    }

    /// Waits for the end of the process, and returns how long after the signal it was.
    async fn wait_ended(&mut self) -> Duration {
        let ended = timeout(NEVER, self.site.nodes[0].process.wait()).await;
        assert!(ended.unwrap().unwrap().success());
        self.signaled_at.elapsed()
    }
}

/// Returns a request with a body.
fn request_with_body(path: &str, id: &str, body: &str) -> String {
    let rest = format!("content-length: {}\r\n\r\n{body}", body.len());
    request_head("POST", path, id, &rest)
}

/// The worker of a stream that ends 4.9 s after its begin and of plain requests that take long.
fn long_stream_and_work(request: &WorkerRequest) -> Answer {
    if request.id.starts_with("stream") {
        stream_over(Duration::from_millis(4_900))
    } else {
        answer_after(LONG_WORK)
    }
}

/// Writes another grace into the settings file of a node.
fn write_grace(site: &StoppingSite, grace: &str) {
    let node = &site.site.nodes[0];
    let text = std::fs::read_to_string(&node.settings).unwrap();
    let text = text.replace("grace = \"6s\"", &format!("grace = \"{grace}\""));
    std::fs::write(&node.settings, text).unwrap();
}

/// Changes the grace in the settings of a running node.
async fn change_grace(site: &StoppingSite, grace: &str) {
    write_grace(site, grace);
    site.site.nodes[0].process.signal(Signal::SIGHUP);
    sleep(Duration::from_millis(500)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_follows_a_stream_late_in_the_grace_is_not_lost() {
    let mut site = StoppingSite::start(long_stream_and_work).await;
    let mut callers = Vec::new();
    for path in [RESERVE, LOOKUP, STREAM] {
        let mut caller = site.connect().await;
        let stream = request_with_body(STREAM, &format!("stream-{path}"), "");
        caller.write(stream).await.unwrap();
        callers.push((path, caller));
    }
    sleep(Duration::from_millis(200)).await;
    site.stop();
    for (path, caller) in &mut callers {
        assert_eq!(site.read_in_time(caller).await.status, 200);
        let next = request_with_body(path, &format!("next-{path}"), "");
        caller.write(next).await.unwrap();
    }
    for (path, caller) in &mut callers {
        let response = site.read_in_time(caller).await;
        site.assert_not_run(&response, &format!("next-{path}"));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_in_the_buffer_behind_a_stream_late_in_the_grace_is_not_lost() {
    let mut site = StoppingSite::start(long_stream_and_work).await;
    let mut callers = Vec::new();
    for path in [RESERVE, LOOKUP, STREAM] {
        let mut caller = site.connect().await;
        let stream = request_with_body(STREAM, &format!("stream-{path}"), "");
        let next = request_with_body(path, &format!("next-{path}"), "body");
        caller.write(stream + &next).await.unwrap();
        callers.push((path, caller));
    }
    sleep(Duration::from_millis(200)).await;
    site.stop();
    for (path, caller) in &mut callers {
        assert_eq!(site.read_in_time(caller).await.status, 200);
        let response = site.read_in_time(caller).await;
        site.assert_not_run(&response, &format!("next-{path}"));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_follows_a_stream_early_enough_is_served() {
    let mut site = StoppingSite::start(|request| {
        if request.id == "stream" {
            stream_over(Duration::from_millis(3_800))
        } else {
            answer_after(Duration::from_millis(20))
        }
    })
    .await;
    let mut caller = site.connect().await;
    let stream = request_with_body(STREAM, "stream", "");
    caller.write(stream).await.unwrap();
    sleep(Duration::from_millis(200)).await;
    site.stop();
    assert_eq!(site.read_in_time(&mut caller).await.status, 200);
    let next = request_with_body(RESERVE, "next", "");
    caller.write(next).await.unwrap();
    let response = site.read_in_time(&mut caller).await;
    assert_eq!(response.status, 200);
    assert!(response.head.contains("connection: close"), "{response:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_ends_late_in_the_grace_is_not_lost() {
    let mut site = StoppingSite::start(|_| answer_after(LONG_WORK)).await;
    let mut callers = Vec::new();
    for path in [RESERVE, LOOKUP, STREAM] {
        callers.push((path, site.connect().await));
    }
    site.stop();
    site.wait_until(Duration::from_millis(1_500)).await;
    for (path, caller) in &mut callers {
        let rest = "content-length: 8\r\n\r\nhalf";
        let head = request_head("POST", path, &format!("slow-{path}"), rest);
        caller.write(head).await.unwrap();
    }
    site.wait_until(Duration::from_millis(5_100)).await;
    for (path, caller) in &mut callers {
        // A refusal may have come before.
        let _ = caller.write("half").await;
        let response = site.read_in_time(caller).await;
        site.assert_not_run(&response, &format!("slow-{path}"));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_does_not_end_is_refused_before_the_abort() {
    let mut site = StoppingSite::start(|_| answer_after(LONG_WORK)).await;
    let mut caller = site.connect().await;
    site.stop();
    site.wait_until(Duration::from_millis(2_500)).await;
    let head = request_head("POST", RESERVE, "endless", "content-length: 8\r\n\r\nhalf");
    caller.write(head).await.unwrap();
    let response = site.read_in_time(&mut caller).await;
    site.assert_not_run(&response, "endless");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_refusal_of_a_request_whose_body_does_not_end_comes_before_the_abort() {
    let mut site = StoppingSite::start(|_| answer_after(LONG_WORK)).await;
    let mut caller = site.connect().await;
    let mut stream_caller = site.connect().await;
    let stream = request_with_body(STREAM, "stream", "");
    stream_caller.write(stream).await.unwrap();
    site.stop();
    site.wait_until(Duration::from_millis(2_900)).await;
    let start = request_head("POST", "/nowhere/", "unknown", "content-length: 8\r\n");
    caller.write(start).await.unwrap();
    site.wait_until(Duration::from_millis(4_500)).await;
    caller.write("\r\nhalf").await.unwrap();
    assert_eq!(site.read_in_time(&mut caller).await.status, 404);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_waits_for_an_instance_late_in_the_grace_is_not_lost() {
    let mut site = StoppingSite::start(|request| {
        if request.id == "first" {
            return Answer::refusal(503, "retry-after: 4\r\n");
        }
        answer_after(LONG_WORK)
    })
    .await;
    put_answering_catalog(&site.site, 3, 7_000);
    site.site.wait_catalog(3).await;
    let mut callers = Vec::new();
    for path in [RESERVE, LOOKUP, STREAM] {
        callers.push((path, site.connect().await));
    }
    let first = send(&site.site, RESERVE, "first").await.unwrap();
    assert_eq!(first.status, StatusCode::SERVICE_UNAVAILABLE);
    for (path, caller) in &mut callers {
        let waiting = request_with_body(path, &format!("waiting-{path}"), "");
        caller.write(waiting).await.unwrap();
    }
    sleep(Duration::from_millis(100)).await;
    site.stop();
    for (path, caller) in &mut callers {
        let response = site.read_in_time(caller).await;
        site.assert_not_run(&response, &format!("waiting-{path}"));
        let elapsed = site.signaled_at.elapsed();
        assert!(elapsed < KNOWN_AT_ONCE, "{elapsed:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_is_offered_again_late_in_the_grace_is_not_lost() {
    let mut site = StoppingSite::start(|_| answer_after(NEVER)).await;
    let _second =
        AnsweringWorker::start(&site.site.fleet, "k1", ANSWERING, |_| answer_after(NEVER)).await;
    wait_rows_read(&site.site).await;
    let mut caller = site.connect().await;
    site.stop();
    site.wait_until(Duration::from_millis(1_000)).await;
    let request = request_with_body(LOOKUP, "silent", "");
    caller.write(request).await.unwrap();
    let response = site.read_in_time(&mut caller).await;
    assert_eq!(response.status, 504, "{response:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_instance_fails_late_in_the_grace_is_served_by_another() {
    let respond = |failed: &Arc<AtomicUsize>| {
        let failed = Arc::clone(failed);
        move |request: &WorkerRequest| {
            let is_first = failed.fetch_add(1, Ordering::Relaxed) < 2;
            match (is_first, request.id.as_str()) {
                (true, "stream") => reset_after(Duration::from_millis(350)),
                (true, _) => reset_after(Duration::from_millis(2_100)),
                (false, "stream") => stream_over(Duration::ZERO),
                (false, _) => answer_after(Duration::ZERO),
            }
        }
    };
    let failed = Arc::new(AtomicUsize::new(0));
    let mut site = StoppingSite::start(respond(&failed)).await;
    let fleet = &site.site.fleet;
    let _second = AnsweringWorker::start(fleet, "k1", ANSWERING, respond(&failed)).await;
    wait_rows_read(&site.site).await;
    let mut callers = [site.connect().await, site.connect().await];
    site.stop();
    site.wait_until(Duration::from_millis(2_750)).await;
    for (caller, (path, id)) in callers
        .iter_mut()
        .zip([(STREAM, "stream"), (LOOKUP, "lookup")])
    {
        caller.write(request_with_body(path, id, "")).await.unwrap();
    }
    for caller in &mut callers {
        let response = site.read_in_time(caller).await;
        assert_eq!(response.status, 200, "{response:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_without_a_response_are_answered_before_the_abort() {
    let mut site = StoppingSite::start(|_| answer_after(NEVER)).await;
    let mut callers = Vec::new();
    for path in [RESERVE, LOOKUP, STREAM] {
        callers.push((path, site.connect().await));
    }
    for (path, caller) in &mut callers {
        let request = request_with_body(path, &format!("long-{path}"), "");
        caller.write(request).await.unwrap();
    }
    sleep(Duration::from_millis(100)).await;
    site.stop();
    for (path, caller) in &mut callers {
        let response = site.read_in_time(caller).await;
        assert_eq!(response.status, 504, "{response:?}");
        assert!(response.head.contains("connection: close"), "{response:?}");
        assert!(site.signaled_at.elapsed() >= LAST_SIXTH);
        assert_eq!(site.received(&format!("long-{path}")), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_has_begun_goes_on_into_the_last_sixth_of_the_grace() {
    let mut site = StoppingSite::start(|_| stream_over(NEVER)).await;
    let mut caller = site.connect().await;
    let stream = request_with_body(STREAM, "stream", "");
    caller.write(stream).await.unwrap();
    sleep(Duration::from_millis(100)).await;
    site.stop();
    assert!(caller.read_response().await.is_none());
    let cut_after = site.signaled_at.elapsed();
    assert!(cut_after >= LAST_SIXTH, "{cut_after:?}");
    let ended_after = site.wait_ended().await;
    assert!(ended_after < GRACE, "{ended_after:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_whose_store_is_silent_is_gone_before_the_grace_ends() {
    let mut site = StoppingSite::start(|_| stream_over(NEVER)).await;
    let mut caller = site.connect().await;
    let stream = request_with_body(STREAM, "stream", "");
    caller.write(stream).await.unwrap();
    sleep(Duration::from_millis(100)).await;
    site.site.nodes[0].store.set_fault(Fault::Paused);
    site.stop();
    let ended_after = site.wait_ended().await;
    assert!(ended_after < GRACE, "{ended_after:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_comes_after_the_listener_has_closed_is_not_begun() {
    let mut site = StoppingSite::start(|request| {
        if request.id == "first" {
            stream_over(Duration::from_millis(3_500))
        } else {
            stream_over(NEVER)
        }
    })
    .await;
    let mut caller = site.connect().await;
    let first = request_with_body(STREAM, "first", "");
    caller.write(first).await.unwrap();
    sleep(Duration::from_millis(100)).await;
    site.stop();
    assert_eq!(site.read_in_time(&mut caller).await.status, 200);
    let next = request_with_body(STREAM, "next", "");
    caller.write(next).await.unwrap();
    let response = site.read_in_time(&mut caller).await;
    site.assert_not_run(&response, "next");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_longer_grace_in_newer_settings_holds_at_a_stop() {
    let mut site = StoppingSite::start(|_| answer_after(Duration::from_millis(7_000))).await;
    change_grace(&site, "12s").await;
    let mut caller = site.connect().await;
    let request = request_with_body(RESERVE, "long", "");
    caller.write(request).await.unwrap();
    sleep(Duration::from_millis(100)).await;
    site.stop();
    let response = caller.read_response().await;
    assert_eq!(response.map(|response| response.status), Some(200));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_grace_that_was_written_just_before_the_signal_holds() {
    let mut site = StoppingSite::start(|_| answer_after(Duration::from_millis(7_000))).await;
    let mut caller = site.connect().await;
    let request = request_with_body(RESERVE, "long", "");
    caller.write(request).await.unwrap();
    sleep(Duration::from_millis(100)).await;
    write_grace(&site, "12s");
    site.stop();
    let response = caller.read_response().await;
    assert_eq!(response.map(|response| response.status), Some(200));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_grace_that_grows_after_the_signal_does_not_delay_the_end() {
    let mut site = StoppingSite::start(|_| answer_after(NEVER)).await;
    let mut caller = site.connect().await;
    let request = request_with_body(RESERVE, "long", "");
    caller.write(request).await.unwrap();
    sleep(Duration::from_millis(100)).await;
    site.stop();
    // What is written while the signal is on its way may hold.
    site.wait_until(Duration::from_millis(300)).await;
    change_grace(&site, "12s").await;
    assert_eq!(site.read_in_time(&mut caller).await.status, 504);
    let ended_after = site.wait_ended().await;
    assert!(ended_after < GRACE, "{ended_after:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_shorter_grace_in_newer_settings_holds_at_a_stop() {
    for (grace, grace_ms) in [("4s", 4_000), ("2s", 2_000)] {
        let mut site = StoppingSite::start(|_| answer_after(NEVER)).await;
        change_grace(&site, grace).await;
        let mut caller = site.connect().await;
        let request = request_with_body(RESERVE, "long", "");
        caller.write(request).await.unwrap();
        sleep(Duration::from_millis(100)).await;
        site.stop();
        assert_eq!(site.read_in_time(&mut caller).await.status, 504);
        let ended_after = site.wait_ended().await;
        assert!(
            ended_after < Duration::from_millis(grace_ms),
            "{ended_after:?}"
        );
    }
}

/// The number of callers that go on sending, and what the streams and the work of two of them differ by.
const CALLERS: u64 = 36;
const STREAM_STEP_MS: u64 = 150;
const WORK_STEP_MS: u64 = 130;

/// The worker of requests whose ids end with their duration in milliseconds.
fn work_by_id(request: &WorkerRequest) -> Answer {
    let duration = request.id.rsplit('-').next();
    let duration = Duration::from_millis(duration.and_then(|it| it.parse().ok()).unwrap_or(0));
    if request.id.starts_with("stream") {
        stream_over(duration)
    } else {
        answer_after(duration)
    }
}

/// Checks the answer to a request that is no stream which had begun before.
fn check_answer(site: &StoppingSite, id: &str, response: Option<&RawResponse>) {
    let elapsed = site.signaled_at.elapsed();
    let received = site.received(id);
    match response.map(|response| response.status) {
        Some(503) => assert_eq!(
            received, 0,
            "{id} was refused after {elapsed:?}, but has run"
        ),
        Some(status) => assert!([200, 504].contains(&status), "{id}: {status}"),
        None => assert_eq!(received, 0, "{id} was cut after {elapsed:?}"),
    }
}

/// Sends requests until the node accepts none: one after a stream from before the signal, and others on
/// new connections.
async fn go_on_sending(site: &StoppingSite, number: u64, mut caller: RawCaller) -> usize {
    let work_ms = number * WORK_STEP_MS % 1_500;
    let path = if number.is_multiple_of(2) {
        RESERVE
    } else {
        LOOKUP
    };
    let stream = caller.read_response().await;
    if stream.is_none() {
        assert!(site.signaled_at.elapsed() >= LAST_SIXTH);
        return 0;
    }
    let mut answered = 0;
    for round in 0.. {
        let id = format!("work-{number}-{round}-{work_ms}");
        let request = request_with_body(path, &id, "body");
        if caller.write(request).await.is_err() {
            break;
        }
        let response = caller.read_response().await;
        check_answer(site, &id, response.as_ref());
        answered += usize::from(response.is_some());
        match RawCaller::try_connect(&site.site.nodes[0]).await {
            Ok(next) => caller = next,
            Err(_closed) => break,
        }
    }
    answered
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_that_go_on_sending_until_the_process_is_gone_lose_nothing() {
    let mut site = StoppingSite::start(work_by_id).await;
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let mut caller = site.connect().await;
        let id = format!("stream-{number}-{}", number * STREAM_STEP_MS + 500);
        caller
            .write(request_with_body(STREAM, &id, ""))
            .await
            .unwrap();
        callers.push(caller);
    }
    sleep(Duration::from_millis(200)).await;
    site.stop();
    let callers = (0..CALLERS).zip(callers);
    let callers = callers.map(|(number, caller)| go_on_sending(&site, number, caller));
    let answered: usize = join_all(callers).await.into_iter().sum();
    assert!(answered >= 30, "only {answered} requests were answered");
    let ended_after = site.wait_ended().await;
    assert!(ended_after < GRACE, "{ended_after:?}");
}
