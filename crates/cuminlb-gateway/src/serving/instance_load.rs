//! [`InstanceLoad`].

use std::collections::VecDeque;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cuminlb_types::prelude::*;
use tokio::time::Instant;

use super::group_standing::GroupStanding;

/// How long an instance that has fallen silent gets no new requests, unless something comes.
const SUSPICION: Duration = Duration::from_millis(1_500);

/// How often the group of a head that stays silent is checked.
const CHECK_PERIOD: Duration = Duration::from_millis(500);

/// How long the outcome of a check counts.
const STANDING_AGE: Duration = Duration::from_millis(1_000);

/// How long an instance that has refused a request gets only what no other can take.
const REFUSAL_PENALTY: Duration = Duration::from_millis(300);

/// The time over which sent requests are counted: a second, and what may differ on the way.
const RATE_WINDOW: Duration = Duration::from_millis(1_100);

/// How much one outcome moves the part of failures.
const FAILURE_WEIGHT: f64 = 0.2;

/// What this node sees of one instance by its own requests.
#[derive(Debug)]
pub(super) struct InstanceLoad {
    pub(super) in_flight: AtomicU32,
    seen: Mutex<Seen>,
}

#[derive(Debug)]
struct Seen {
    progress_at: Instant,
    /// The epoch in which the instance fell silent, and until when that counts.
    suspected: Option<(Epoch, Instant)>,
    /// When its group was last checked.
    checked_at: Option<Instant>,
    /// The outcome of the newest check: the epoch, what was found, and when.
    standing: Option<(Epoch, GroupStanding, Instant)>,
    refused_until: Option<Instant>,
    failing: f64,
    /// The requests that were sent within the newest [`RATE_WINDOW`].
    sent_at: VecDeque<Instant>,
}

impl InstanceLoad {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            in_flight: AtomicU32::new(0),
            seen: Mutex::new(Seen {
                progress_at: now,
                suspected: None,
                checked_at: None,
                standing: None,
                refused_until: None,
                failing: 0.0,
                sent_at: VecDeque::new(),
            }),
        }
    }

    /// Returns the requests of this node that are under way there.
    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Notes that a request is sent there.
    pub(super) fn note_sent(&self, now: Instant) {
        let mut seen = self.seen();
        seen.forget_sent(now);
        seen.sent_at.push_back(now);
    }

    /// Returns the requests of this node that were sent there within about a second.
    pub(super) fn sent_lately(&self, now: Instant) -> usize {
        let mut seen = self.seen();
        seen.forget_sent(now);
        seen.sent_at.len()
    }

    /// Notes that something has come from the instance.
    pub(super) fn note_progress(&self, now: Instant) {
        let mut seen = self.seen();
        seen.progress_at = now;
        seen.suspected = None;
    }

    /// Returns how long nothing has come from the instance.
    pub(super) fn silence(&self, now: Instant) -> Duration {
        now.duration_since(self.seen().progress_at)
    }

    /// Notes that the instance has fallen silent; returns whether its group should be checked, as
    /// that was not done just before.
    pub(super) fn suspect(&self, epoch: Epoch, now: Instant) -> bool {
        let mut seen = self.seen();
        seen.suspected = Some((epoch, now + SUSPICION));
        let is_checked = seen
            .checked_at
            .is_some_and(|at| now.duration_since(at) < CHECK_PERIOD);
        if !is_checked {
            seen.checked_at = Some(now);
        }
        !is_checked
    }

    /// Notes what a check of the instance's group has found.
    pub(super) fn note_standing(&self, epoch: Epoch, standing: GroupStanding, now: Instant) {
        let mut seen = self.seen();
        seen.standing = Some((epoch, standing, now));
        seen.suspected = standing.is_lost().then(|| (epoch, now + SUSPICION));
    }

    /// Returns what a check of the instance's group has found lately in an epoch.
    pub(super) fn standing(&self, epoch: Epoch, now: Instant) -> Option<GroupStanding> {
        let (checked, standing, at) = self.seen().standing?;
        let is_fresh = now.duration_since(at) < STANDING_AGE;
        (checked == epoch && is_fresh).then_some(standing)
    }

    /// Tells whether the instance is taken to be silent in an epoch.
    pub(super) fn is_suspected(&self, epoch: Epoch, now: Instant) -> bool {
        let suspected = self.seen().suspected;
        suspected.is_some_and(|(known, until)| known == epoch && now < until)
    }

    /// Notes that the instance has refused a request.
    pub(super) fn note_refusal(&self, now: Instant) {
        self.seen().refused_until = Some(now + REFUSAL_PENALTY);
    }

    /// Tells whether the instance has refused a request just now.
    pub(super) fn has_refused(&self, now: Instant) -> bool {
        self.seen().refused_until.is_some_and(|until| now < until)
    }

    /// Notes whether a request has failed by the instance's fault.
    pub(super) fn record_outcome(&self, has_failed: bool) {
        let mut seen = self.seen();
        let outcome = if has_failed { 1.0 } else { 0.0 };
        seen.failing += FAILURE_WEIGHT * (outcome - seen.failing);
    }

    /// Returns the part of the newest requests that failed by the instance's fault.
    pub(super) fn failing(&self) -> Ratio {
        Ratio(self.seen().failing)
    }

    fn seen(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Seen {
    fn forget_sent(&mut self, now: Instant) {
        let is_old = |at: &Instant| now.duration_since(*at) >= RATE_WINDOW;
        while self.sent_at.front().is_some_and(is_old) {
            self.sent_at.pop_front();
        }
    }
}
