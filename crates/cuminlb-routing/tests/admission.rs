//! Properties of admission control: fair queueing, bounded queues, rate limits and retry jitter.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails by panicking"
)]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use cuminlb_routing::{
    AdmissionLimits, FairQueue, Priority, RefusalKind, RetryJitter, ServiceQueue, TokenBucket, Turn,
};
use cuminlb_types::prelude::*;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

fn config() -> Config {
    Config {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0xAD31),
        ..Config::default()
    }
}

fn team(number: usize) -> TeamId {
    format!("team-{number}").parse().unwrap()
}

fn service() -> ServiceId {
    "oar-assist".parse().unwrap()
}

proptest! {
    #![proptest_config(config())]

    /// Backlogged teams are served in proportion to their weights, to within one request each.
    #[test]
    fn backlogged_teams_are_served_by_weight(
        weights in vec(1..30_u32, 2..8),
        served in 1..300_usize,
    ) {
        let mut queue = FairQueue::new(SlotCount(100_000));
        for (number, weight) in weights.iter().enumerate() {
            for _ in 0..served {
                queue.push(&team(number), ShareWeight(*weight), Priority::Normal, number);
            }
        }
        let mut counts = vec![0_u32; weights.len()];
        for _ in 0..served {
            counts[queue.pop().unwrap()] += 1;
        }
        for (a, b) in (0..weights.len()).flat_map(|a| (0..a).map(move |b| (a, b))) {
            let weighted = |team: usize| f64::from(counts[team]) / f64::from(weights[team]);
            let bound = 1.0 / f64::from(weights[a]) + 1.0 / f64::from(weights[b]);
            prop_assert!(
                (weighted(a) - weighted(b)).abs() <= bound + 1e-3,
                "{counts:?} of {weights:?}"
            );
        }
    }

    /// A request of a small team waits for no more requests than the queue predicted, however large
    /// the backlog of the other teams is.
    #[test]
    fn small_team_wait_is_bounded_under_backlog(
        backlog in vec((0..4_usize, 1..30_u32), 1..400),
        popped in 0..100_usize,
        weight in 1..30_u32,
    ) {
        let mut queue = FairQueue::new(SlotCount(100_000));
        let weights: BTreeMap<usize, u32> = backlog.iter().copied().collect();
        for (number, _) in &backlog {
            queue.push(&team(*number), ShareWeight(weights[number]), Priority::Normal, false);
        }
        for _ in 0..popped {
            queue.pop();
        }
        let small = team(9);
        let ahead = queue.max_ahead_of(&small, ShareWeight(weight));
        queue.push(&small, ShareWeight(weight), Priority::Normal, true);
        let mut before = 0;
        while queue.pop() == Some(false) {
            before += 1;
        }
        prop_assert!(before <= ahead, "{before} requests served first, at most {ahead} expected");
    }

    /// A full queue evicts only requests of the team with the longest queue, and loses no others.
    #[test]
    fn full_queue_keeps_requests_of_small_teams(
        pushes in vec(0..5_usize, 1..300),
        max_waiting in 5..50_u32,
    ) {
        let mut queue = FairQueue::new(SlotCount(max_waiting));
        let mut waiting: BTreeSet<(usize, usize)> = BTreeSet::new();
        for (sequence, index) in pushes.iter().copied().enumerate() {
            waiting.insert((index, sequence));
            let (_, evicted) =
                queue.push(&team(index), ShareWeight(1), Priority::Normal, (index, sequence));
            if let Some((index, sequence)) = evicted {
                let queue_len =
                    |team: usize| waiting.iter().filter(|(index, _)| *index == team).count();
                prop_assert!((0..5).all(|other| queue_len(other) <= queue_len(index)));
                prop_assert!(waiting.remove(&(index, sequence)));
            }
            prop_assert!(queue.len() <= max_waiting as usize);
        }
        while let Some(next) = queue.pop() {
            prop_assert!(waiting.remove(&next));
        }
        prop_assert!(waiting.is_empty());
    }

    /// The retries of callers that are refused at the same time are not due in the same second.
    #[test]
    fn retries_are_spread_over_growing_window(
        refused in 20..2_000_usize,
        rate in 1.0..200.0_f64,
        seed in any::<u64>(),
    ) {
        let now = Instant::now();
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut jitter = RetryJitter::new(now);
        let mut per_second = BTreeMap::new();
        for _ in 0..refused {
            let retry_ms = jitter.next_retry_after(0, RequestsPerSecond(rate), now, &mut rng);
            *per_second.entry(retry_ms.get().div_ceil(1_000)).or_insert(0_usize) += 1;
        }
        let window_s = (refused as f64 / rate).clamp(2.0, 60.0);
        let even = refused as f64 / window_s;
        let most = *per_second.values().max().unwrap() as f64;
        // The first refused callers retry early, because the window was still small for them.
        prop_assert!(most <= 6.0 * even + 10.0, "{most} retries in a second, {even} if even");
        prop_assert!(per_second.len() as f64 >= window_s / 3.0);
    }

    /// No interval admits more requests than the rate and the burst allow.
    #[test]
    fn rate_limit_is_enforced(gaps_ms in vec(0..300_u64, 1..300), rate in 0.1..50.0_f64) {
        let started = Instant::now();
        let mut now = started;
        let mut bucket = TokenBucket::new(RequestsPerSecond(rate), now);
        let mut taken = 0;
        for gap_ms in gaps_ms {
            now += Duration::from_millis(gap_ms);
            taken += u32::from(bucket.try_take(RequestsPerSecond(rate), now));
            let elapsed_s = now.duration_since(started).as_secs_f64();
            prop_assert!(f64::from(taken) <= (rate * 5.0).max(1.0) + rate * elapsed_s + 1e-6);
        }
    }
}

#[test]
fn priorities_order_requests_within_a_team_only() {
    let mut queue = FairQueue::new(SlotCount(100));
    let weight = ShareWeight(1);
    queue.push(&team(0), weight, Priority::Low, "0 low");
    queue.push(&team(1), weight, Priority::Low, "1 low");
    queue.push(&team(0), weight, Priority::High, "0 high");
    let order: Vec<&str> = std::iter::from_fn(|| queue.pop()).collect();
    assert_eq!(order, ["1 low", "0 high", "0 low"]);
}

fn service_queue(max_waiting: u32) -> Arc<ServiceQueue> {
    let limits = AdmissionLimits {
        max_waiting: SlotCount(max_waiting),
    };
    Arc::new(ServiceQueue::new(service(), &limits))
}

/// Acquires all turns of a queue.
async fn take_turns(queue: &Arc<ServiceQueue>) -> Vec<Turn> {
    let mut turns = Vec::new();
    let deadline = Instant::now() + Duration::from_millis(10);
    let wait = || queue.wait_turn(&TEAM, ShareWeight(1), Priority::Normal, deadline);
    while let Ok(turn) = wait().await {
        turns.push(turn);
    }
    turns
}

static TEAM: std::sync::LazyLock<TeamId> = std::sync::LazyLock::new(|| team(0));

#[tokio::test(start_paused = true)]
async fn turn_passes_on_when_its_request_is_canceled() {
    let queue = service_queue(100);
    let mut turns = take_turns(&queue).await;
    assert!(!turns.is_empty());
    let deadline = Instant::now() + Duration::from_secs(60);
    let wait = || queue.wait_turn(&TEAM, ShareWeight(1), Priority::Normal, deadline);
    let canceled = wait();
    let remaining = wait();
    let mut canceled = Box::pin(canceled);
    assert!(poll_is_pending(canceled.as_mut()).await);
    let mut remaining = Box::pin(remaining);
    assert!(poll_is_pending(remaining.as_mut()).await);
    drop(turns.pop());
    drop(canceled);
    assert!(
        remaining.await.is_ok(),
        "the turn of the canceled request was lost"
    );
    assert_eq!(queue.waiting(), 0);
}

/// Polls a future once and returns whether it is still pending.
async fn poll_is_pending<F: Future>(future: std::pin::Pin<&mut F>) -> bool {
    let mut future = future;
    std::future::poll_fn(|context| {
        std::task::Poll::Ready(future.as_mut().poll(context).is_pending())
    })
    .await
}

#[tokio::test(start_paused = true)]
async fn request_with_too_long_expected_wait_is_refused_immediately() {
    let queue = service_queue(1_000);
    let turns = take_turns(&queue).await;
    let late_deadline = Instant::now() + Duration::from_secs(600);
    let mut waiting = Vec::new();
    for _ in 0..100 {
        let wait = queue.wait_turn(&TEAM, ShareWeight(1), Priority::Normal, late_deadline);
        let mut wait = Box::pin(wait);
        assert!(poll_is_pending(wait.as_mut()).await);
        waiting.push(wait);
    }
    for turn in turns {
        tokio::time::advance(Duration::from_secs(1)).await;
        turn.served();
    }
    let requested_at = Instant::now();
    let early_deadline = requested_at + Duration::from_secs(5);
    let wait = queue.wait_turn(&TEAM, ShareWeight(1), Priority::Normal, early_deadline);
    let refusal = wait
        .await
        .expect_err("100 requests wait, and one is served per second");
    assert!(
        matches!(refusal.kind, RefusalKind::DeadlineTooClose { .. }),
        "{refusal}"
    );
    assert!(refusal.retry_after_ms.is_some());
    assert_eq!(Instant::now(), requested_at);
}
