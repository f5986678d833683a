//! Tests of nodes on the users' platform: callers that don't read their responses.

use std::time::Duration;

use tokio::time::sleep;

use crate::native_site::NativeSite;
use crate::raw_caller::{RawCaller, request_head};
use crate::scripted_worker::Step::{self, Send};
use crate::silence_site::{PLAIN, RESUMABLE, SilenceSite};

/// The head of a stream with any end.
const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-seal: s\r\n\
                           content-type: text/event-stream\r\n\r\n";

/// The number of callers that never read.
const CALLERS: usize = 10;

/// The deadline of a request and the idle time of a connection, and some time more.
const ALL_LIMITS: Duration = Duration::from_secs(8 + 15 + 3);

fn open_files(site: &NativeSite) -> usize {
    let id = site.nodes[0].process.id().unwrap();
    std::fs::read_dir(format!("/proc/{id}/fd")).unwrap().count()
}

/// Sends requests of callers that never read to a route, and returns how many files the node has open
/// before, and after all time limits.
async fn open_files_around(script: &'static [Step], route: &str) -> (usize, usize) {
    let site = SilenceSite::start(&[[Some(script)]]).await;
    let before = open_files(&site.site);
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let mut caller = RawCaller::connect_with_small_buffer(&site.site.nodes[0]).await;
        let path = format!("/scripted0/{route}/x");
        let head = request_head("GET", &path, &format!("n{number}"), "\r\n");
        caller.write(head).await.unwrap();
        callers.push(caller);
    }
    sleep(ALL_LIMITS).await;
    (before, open_files(&site.site))
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_of_callers_that_never_read_a_response_are_closed() {
    let head = "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-seal: s\r\n\r\n";
    let response: &str = format!("{head}{}", "b".repeat(7 << 20)).leak();
    let script: &[Step] = vec![Send(response)].leak();
    let (before, after) = open_files_around(script, PLAIN).await;
    assert!(
        after < before + CALLERS / 2,
        "{before} files before, {after} after"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_of_callers_that_never_read_a_stream_are_closed() {
    let mut stream = STREAM_HEAD.to_owned();
    for id in 1..30 {
        stream.push_str(&format!("id: {id}\ndata: {}\n\n", "d".repeat(500_000)));
    }
    let script: &[Step] = vec![Send(stream.leak())].leak();
    let (before, after) = open_files_around(script, RESUMABLE).await;
    assert!(
        after < before + CALLERS / 2,
        "{before} files before, {after} after"
    );
}
