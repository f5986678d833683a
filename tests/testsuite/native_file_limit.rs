//! Tests of nodes on the users' platform: more connections of callers than open files are allowed.

use std::time::Duration;

use nix::sys::signal::Signal;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::native_site::{LOOKUP_PATH, NativeSite};
use crate::raw_caller::{RawCaller, request_head};

/// The processing time of a plain request, on which no test here depends.
const SHORT_WORK: Duration = Duration::from_millis(5);

/// The limit on the open files of a node, and a number of callers beyond it.
const FILE_LIMIT: u32 = 64;
const CALLERS: usize = 100;

/// The time for which the node's messages and processor time are observed.
const OBSERVATION: Duration = Duration::from_secs(1);

/// The most messages, and the most clock ticks of 10 ms, that a node may take in that time.
const MAX_MESSAGES: usize = 100;
const MAX_TICKS: u64 = 30;

fn failure_count(site: &NativeSite) -> usize {
    let log = site.nodes[0].process.log();
    log.matches("failed to accept a").count()
}

/// Returns the processor time of the node in clock ticks.
fn processor_ticks(site: &NativeSite) -> u64 {
    let id = site.nodes[0].process.id().unwrap();
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap();
    // The fields after the name of the program begin with the third.
    let (_, fields) = stat.rsplit_once(") ").unwrap();
    let fields: Vec<&str> = fields.split(' ').collect();
    fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_without_free_files_neither_spins_nor_loses_callers_that_wait() {
    let mut site = NativeSite::start(1, 2, SHORT_WORK).await;
    site.nodes[0].process.kill().await;
    site.restart_node_with_file_limit(0, FILE_LIMIT);
    site.wait_serving().await;
    let mut callers = Vec::new();
    for _ in 0..CALLERS {
        callers.push(RawCaller::connect(&site.nodes[0]).await);
    }
    let _peer = TcpStream::connect(site.nodes[0].peer_address()).await;
    sleep(OBSERVATION).await;
    let (messages, ticks) = (failure_count(&site), processor_ticks(&site));
    sleep(OBSERVATION).await;
    let messages = failure_count(&site) - messages;
    let ticks = processor_ticks(&site) - ticks;
    assert!(messages > 0, "the node has enough files");
    assert!(messages <= MAX_MESSAGES, "{messages} messages");
    assert!(ticks <= MAX_TICKS, "{ticks} ticks of processor time");
    let mut waiting = callers.split_off(CALLERS / 2 + CALLERS / 4);
    drop(callers);
    for (number, caller) in waiting.iter_mut().enumerate() {
        let response = caller.get(LOOKUP_PATH, &format!("w{number}")).await;
        assert_eq!(response.map(|response| response.status), Some(200));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_that_wait_at_the_stop_of_a_node_without_free_files_are_answered() {
    let mut site = NativeSite::start(1, 2, SHORT_WORK).await;
    site.nodes[0].process.kill().await;
    site.restart_node_with_file_limit(0, FILE_LIMIT);
    site.wait_serving().await;
    let mut callers = Vec::new();
    for _ in 0..CALLERS {
        callers.push(RawCaller::connect(&site.nodes[0]).await);
    }
    sleep(OBSERVATION).await;
    let mut waiting = callers.split_off(CALLERS / 2 + CALLERS / 4);
    for (number, caller) in waiting.iter_mut().enumerate() {
        let head = request_head("GET", LOOKUP_PATH, &format!("s{number}"), "\r\n");
        caller.write(head).await.unwrap();
    }
    site.nodes[0].process.signal(Signal::SIGTERM);
    let mut answered = 0;
    for caller in &mut waiting {
        answered += usize::from(caller.read_response().await.is_some());
    }
    assert_eq!(answered, waiting.len(), "{}", site.nodes[0].process.log());
}
