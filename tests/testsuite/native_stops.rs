//! Tests of nodes on the users' platform: requests that arrive as a node closes connections to stop.

use std::time::Duration;

use nix::sys::signal::Signal;
use tokio::time::sleep;

use crate::native_site::{LOOKUP_PATH, NativeSite};
use crate::raw_caller::{RawCaller, request_head};

/// The processing time of a plain request, on which no test here depends.
const SHORT_WORK: Duration = Duration::from_millis(5);

/// When a request is sent, after the signal: shortly before the node stops accepting callers.
const SEND_DELAY: Duration = Duration::from_millis(2_600);

/// How long a node is paused, so that it finds requests and the end of its drain at the same time.
const NODE_PAUSE: Duration = Duration::from_millis(1_000);

/// The number of callers of each kind.
const CALLERS: usize = 8;

async fn serving_site() -> NativeSite {
    let site = NativeSite::start(1, 2, SHORT_WORK).await;
    site.wait_serving().await;
    site
}

#[tokio::test(flavor = "multi_thread")]
async fn a_head_that_has_begun_to_arrive_at_a_stop_is_answered() {
    let site = serving_site().await;
    let mut kept = RawCaller::connect(&site.nodes[0]).await;
    assert_eq!(kept.get(LOOKUP_PATH, "k0").await.unwrap().status, 200);
    let mut new = RawCaller::connect(&site.nodes[0]).await;
    site.nodes[0].process.signal(Signal::SIGTERM);
    sleep(SEND_DELAY).await;
    let head = request_head("GET", LOOKUP_PATH, "half", "\r\n");
    let (start, rest) = head.split_at(head.len() / 2);
    for caller in [&mut kept, &mut new] {
        caller.write(start).await.unwrap();
    }
    sleep(NODE_PAUSE).await;
    for caller in [&mut kept, &mut new] {
        caller.write(rest).await.unwrap();
        let response = caller.read_response().await;
        assert_eq!(response.map(|response| response.status), Some(200));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_that_a_paused_node_finds_at_its_stop_are_answered() {
    let site = serving_site().await;
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let mut caller = RawCaller::connect(&site.nodes[0]).await;
        let id = format!("k{number}");
        assert_eq!(caller.get(LOOKUP_PATH, &id).await.unwrap().status, 200);
        callers.push(caller);
    }
    site.nodes[0].process.signal(Signal::SIGTERM);
    sleep(SEND_DELAY).await;
    site.nodes[0].process.signal(Signal::SIGSTOP);
    for _ in 0..CALLERS {
        callers.push(RawCaller::connect(&site.nodes[0]).await);
    }
    for (number, caller) in callers.iter_mut().enumerate() {
        let id = format!("p{number}");
        let head = request_head("GET", LOOKUP_PATH, &id, "\r\n");
        caller.write(head).await.unwrap();
    }
    sleep(NODE_PAUSE).await;
    site.nodes[0].process.signal(Signal::SIGCONT);
    let mut answered = 0;
    for caller in &mut callers {
        let response = caller.read_response().await;
        answered += usize::from(response.is_some_and(|response| response.status == 200));
    }
    assert_eq!(answered, 2 * CALLERS);
}
