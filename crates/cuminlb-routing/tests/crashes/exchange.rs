//! Nodes that tell each other what they have seen agree, in whatever order they hear of it.

use std::time::Duration;

use cuminlb_routing::{CrashBoard, CrashCause};
use proptest::prelude::*;
use tokio::time::Instant;

use crate::support::{begun, crash, part, waiting};

fn quarantined(board: &CrashBoard) -> Vec<CrashCause> {
    let quarantined = board.quarantined();
    let mut causes: Vec<CrashCause> = quarantined.into_iter().map(|it| it.cause).collect();
    causes.sort();
    causes
}

#[test]
fn a_node_that_saw_nothing_keeps_back_what_others_found() {
    let start = Instant::now();
    let (one, other, third) = (
        CrashBoard::default(),
        CrashBoard::default(),
        CrashBoard::default(),
    );
    one.record_crash(crash("i1", start, begun(&[part("deadly"), part("a")])));
    let second = start + Duration::from_millis(700);
    one.record_crash(crash("i2", second, begun(&[part("deadly")])));
    let third_at = start + Duration::from_millis(1_400);
    other.record_crash(crash("i3", third_at, begun(&[part("deadly"), part("b")])));
    let now = start + Duration::from_millis(1_500);
    third.merge(&one.report(now), now);
    assert_eq!(quarantined(&third), []);
    third.merge(&other.report(now), now);
    assert_eq!(quarantined(&third), [part("deadly")]);
}

#[test]
fn a_success_anywhere_releases_a_cause_everywhere() {
    let start = Instant::now();
    let (one, other) = (CrashBoard::default(), CrashBoard::default());
    for number in 0..3 {
        let at = start + Duration::from_millis(number * 500);
        one.record_crash(crash(&format!("i{number}"), at, begun(&[part("shared")])));
    }
    let now = start + Duration::from_secs(2);
    other.merge(&one.report(now), now);
    assert_eq!(quarantined(&other), [part("shared")]);
    other.record_success(&[part("shared")], now + Duration::from_millis(100));
    let later = now + Duration::from_millis(200);
    one.merge(&other.report(later), later);
    assert_eq!(quarantined(&one), []);
}

#[test]
fn a_crash_that_several_nodes_report_is_one_crash() {
    let start = Instant::now();
    let boards = [(); 3].map(|()| CrashBoard::default());
    for (number, board) in boards.iter().enumerate() {
        let at = start + Duration::from_millis(number as u64 * 150);
        board.record_crash(crash("i1", at, begun(&[part("shared")])));
    }
    let now = start + Duration::from_secs(1);
    boards[0].merge(&boards[1].report(now), now);
    boards[0].merge(&boards[2].report(now), now);
    assert_eq!(boards[0].report(now).crashes.len(), 1);
    assert_eq!(quarantined(&boards[0]), []);
}

#[test]
fn a_crash_that_a_node_reports_after_a_pause_is_still_the_same_crash() {
    let start = Instant::now();
    let (one, paused) = (CrashBoard::default(), CrashBoard::default());
    one.record_crash(crash("i1", start, begun(&[part("shared")])));
    paused.record_crash(crash("i1", start, begun(&[part("shared")])));
    // The clock of the paused node stood still for eight seconds.
    let told = paused.report(start + Duration::from_secs(1));
    let now = start + Duration::from_secs(9);
    one.merge(&told, now);
    assert_eq!(one.report(now).crashes.len(), 1);
}

#[test]
fn a_change_is_announced_once_and_repeated_news_are_not() {
    let start = Instant::now();
    let (one, other) = (CrashBoard::default(), CrashBoard::default());
    one.record_crash(crash("i1", start, waiting(&[part("a")])));
    let mut changes = other.changes();
    let now = start + Duration::from_millis(10);
    other.merge(&one.report(now), now);
    assert!(changes.has_changed().unwrap());
    changes.mark_unchanged();
    other.merge(&one.report(now), now);
    one.merge(&other.report(now), now);
    other.merge(&one.report(now), now);
    assert!(!changes.has_changed().unwrap());
}

#[test]
fn peers_are_told_little_about_old_crashes() {
    let start = Instant::now();
    let board = CrashBoard::default();
    for number in 0..40 {
        let at = start + Duration::from_millis(number * 200);
        let own = (0..50).map(|cause| part(&format!("p{number}-{cause}")));
        let causes: Vec<CrashCause> = own.collect();
        board.record_crash(crash(&format!("i{number}"), at, begun(&causes)));
    }
    for number in 0..3 {
        let at = start + Duration::from_millis(8_000 + number * 200);
        let causes = [part("deadly"), part("other")];
        board.record_crash(crash(&format!("d{number}"), at, begun(&causes)));
    }
    board.record_success(&[part("other")], start + Duration::from_secs(9));
    let now = start + Duration::from_secs(60);
    let report = board.report(now);
    assert_eq!(report.crashes.len(), 3);
    for told in &report.crashes {
        assert_eq!(told.candidates, begun(&[part("deadly")]));
    }
    assert_eq!(report.causes, []);
    assert!(board.needs_repeating(now));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    #[test]
    fn boards_that_exchange_what_happens_agree(
        crashes in prop::collection::vec((0..3_usize, 0..6_usize, 0..5_usize, 0..10_u64), 0..20),
        successes in prop::collection::vec((0..3_usize, 0..5_usize, 0..10_u64), 0..10),
    ) {
        let boards = boards_after(&crashes, &successes);
        prop_assert_eq!(quarantined(&boards[0]), quarantined(&boards[1]));
        prop_assert_eq!(quarantined(&boards[1]), quarantined(&boards[2]));
    }

    #[test]
    fn a_board_that_starts_later_learns_what_is_quarantined(
        crashes in prop::collection::vec((0..6_usize, 0..3_usize, 0..10_u64), 0..20),
    ) {
        let start = Instant::now();
        let (old, new) = (CrashBoard::default(), CrashBoard::default());
        for (crashed, cause, step) in crashes {
            let at = start + Duration::from_millis(step * 3_000);
            let name = format!("i{crashed}-{step}");
            old.record_crash(crash(&name, at, begun(&[part(&format!("p{cause}"))])));
        }
        let now = start + Duration::from_secs(120);
        new.merge(&old.report(now), now);
        prop_assert_eq!(quarantined(&new), quarantined(&old));
    }
}

/// Returns three boards that exchange what they see: crashes by board, instance, cause and step, and
/// successes by board, cause and step.
fn boards_after(
    crashes: &[(usize, usize, usize, u64)],
    successes: &[(usize, usize, u64)],
) -> [CrashBoard; 3] {
    let start = Instant::now();
    let boards = [(); 3].map(|()| CrashBoard::default());
    for step in 0..10 {
        let at = start + Duration::from_millis(step * 3_000);
        for (board, crashed, cause, _) in crashes.iter().filter(|it| it.3 == step) {
            let name = format!("i{crashed}-{step}");
            let causes = [part(&format!("p{cause}"))];
            boards[*board].record_crash(crash(&name, at, begun(&causes)));
        }
        for (board, cause, _) in successes.iter().filter(|it| it.2 == step) {
            let at = at + Duration::from_millis(500);
            boards[*board].record_success(&[part(&format!("p{cause}"))], at);
        }
        exchange_all(&boards, at + Duration::from_millis(1_000));
    }
    boards
}

#[test]
fn boards_agree_although_only_one_knows_of_an_early_success() {
    let crashes = [
        (0, 0, 1, 0),
        (0, 0, 1, 1),
        (0, 0, 3, 4),
        (0, 0, 3, 5),
        (0, 3, 3, 7),
        (0, 3, 1, 7),
    ];
    let boards = boards_after(&crashes, &[(0, 3, 0)]);
    assert_eq!(quarantined(&boards[0]), quarantined(&boards[1]));
    assert_eq!(quarantined(&boards[1]), quarantined(&boards[2]));
}

/// Lets each board tell each other one, twice.
fn exchange_all(boards: &[CrashBoard], now: Instant) {
    for _ in 0..2 {
        for from in boards {
            for to in boards {
                to.merge(&from.report(now), now);
            }
        }
    }
}
