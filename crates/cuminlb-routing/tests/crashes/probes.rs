//! Quarantined causes are probed by one node at a time, and ever more rarely.

use std::time::Duration;

use cuminlb_routing::{CrashBoard, CrashCause, CrashVerdict};
use cuminlb_types::prelude::*;
use tokio::time::Instant;

use crate::support::{begun, crash, node, part};

const NODES: usize = 9;

/// Returns boards of all nodes on which a part is quarantined, and the time of the last crash.
fn quarantined_boards(start: Instant) -> (Vec<CrashBoard>, Instant) {
    let boards: Vec<CrashBoard> = (0..NODES).map(|_| CrashBoard::default()).collect();
    let mut at = start;
    for number in 0..3 {
        at = start + Duration::from_millis(number * 700);
        for board in &boards {
            board.record_crash(crash(&format!("i{number}"), at, begun(&[part("deadly")])));
        }
    }
    (boards, at)
}

/// Returns the nodes that would send a request with a part at a time.
fn senders(boards: &[CrashBoard], cause: &CrashCause, now: Instant) -> Vec<usize> {
    let ids: Vec<NodeId> = (0..NODES).map(node).collect();
    let causes = [cause.clone()];
    let sends = |number: &usize| {
        let verdict = boards[*number].verdict(&causes, &ids[*number], ids.iter(), now);
        !matches!(verdict, CrashVerdict::Quarantined { .. })
    };
    (0..NODES).filter(sends).collect()
}

#[test]
fn a_part_that_goes_on_crashing_is_sent_three_times_in_two_minutes_by_all_nodes() {
    let start = Instant::now();
    let (boards, last_crash) = quarantined_boards(start);
    let mut probes = Vec::new();
    for step in 0..12_000 {
        let now = last_crash + Duration::from_millis(step * 10);
        for sender in senders(&boards, &part("deadly"), now) {
            probes.push((now - last_crash, sender));
            let name = format!("p{}", probes.len());
            for board in &boards {
                board.record_crash(crash(&name, now, begun(&[part("deadly")])));
            }
        }
    }
    assert!((1..=3).contains(&probes.len()), "{probes:?}");
}

#[test]
fn a_part_that_no_longer_crashes_is_released_after_one_probe() {
    let start = Instant::now();
    let (boards, last_crash) = quarantined_boards(start);
    let mut released_at = None;
    for step in 0..3_000 {
        let now = last_crash + Duration::from_millis(step * 10);
        let sent_by = senders(&boards, &part("deadly"), now);
        if !sent_by.is_empty() {
            assert_eq!(sent_by.len(), 1);
            for board in &boards {
                board.record_success(&[part("deadly")], now + Duration::from_millis(200));
            }
            released_at = Some(now);
            break;
        }
    }
    let released_at = released_at.unwrap();
    assert!(released_at - last_crash < Duration::from_secs(6));
    let later = released_at + Duration::from_millis(300);
    assert_eq!(senders(&boards, &part("deadly"), later).len(), NODES);
}

#[test]
fn a_refused_request_is_told_when_the_next_probe_may_be_sent() {
    let start = Instant::now();
    let (boards, last_crash) = quarantined_boards(start);
    let ids: Vec<NodeId> = (0..NODES).map(node).collect();
    let now = last_crash + Duration::from_millis(500);
    let verdict = boards[0].verdict(&[part("deadly")], &ids[0], ids.iter(), now);
    let CrashVerdict::Quarantined { retry_after_ms, .. } = verdict else {
        panic!("{verdict:?}");
    };
    let earlier = now + retry_after_ms.duration() - Duration::from_millis(50);
    assert_eq!(senders(&boards, &part("deadly"), earlier), [] as [usize; 0]);
    let then = now + retry_after_ms.duration() + Duration::from_millis(50);
    assert_eq!(senders(&boards, &part("deadly"), then).len(), 1);
}
