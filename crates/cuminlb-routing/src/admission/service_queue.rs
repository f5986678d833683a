//! The queue of one service at one node, in which requests wait before they try to acquire a slot.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cuminlb_types::prelude::*;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::{AdmissionLimits, DrainRate, FairQueue, Priority, QueuePosition, RetryJitter, Turn};
use crate::{Refusal, RefusalKind};

/// The maximum number of requests of one service that try to acquire slots at the same time.
const MAX_ACTIVE_TURNS: u32 = 8;

/// The requests of one service that wait at this node, until it is their turn to acquire a slot.
#[derive(Debug)]
pub struct ServiceQueue {
    service: ServiceId,
    state: Mutex<QueueState>,
}

#[derive(Debug)]
struct QueueState {
    queue: FairQueue<oneshot::Sender<Turn>>,
    active_turns: u32,
    drain_rate: DrainRate,
    retry_jitter: RetryJitter,
}

impl ServiceQueue {
    /// Creates an empty queue.
    pub fn new(service: ServiceId, limits: &AdmissionLimits) -> Self {
        Self {
            service,
            state: Mutex::new(QueueState {
                queue: FairQueue::new(limits.max_waiting),
                active_turns: 0,
                drain_rate: DrainRate::default(),
                retry_jitter: RetryJitter::new(Instant::now()),
            }),
        }
    }

    /// Waits until the request may try to acquire a slot.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] when the queue is full, or when the turn can't come before `deadline`.
    pub async fn wait_turn(
        self: &Arc<Self>,
        team: &TeamId,
        weight: ShareWeight,
        priority: Priority,
        deadline: Instant,
    ) -> Result<Turn, Refusal> {
        let started_at = Instant::now();
        if self.try_start_turn() {
            return Ok(Turn::new(Arc::clone(self)));
        }
        self.check_deadline(team, weight, deadline)?;
        let (sender, receiver) = oneshot::channel();
        let entry = QueueEntryGuard {
            queue: self,
            position: self.push(team, weight, priority, sender),
        };
        let turn = tokio::time::timeout_at(deadline, receiver).await;
        drop(entry);
        let service = self.service.clone();
        match turn {
            Ok(Ok(turn)) => Ok(turn),
            Ok(Err(_evicted)) => Err(self.refuse(RefusalKind::QueueFull { service })),
            Err(_elapsed) => Err(self.refuse(RefusalKind::NoSlot {
                service,
                waited_ms: started_at.elapsed().into(),
            })),
        }
    }

    /// Returns a refusal with a retry delay, spread over a window that grows with the number of
    /// callers that wait or were refused.
    pub fn refuse(&self, kind: RefusalKind) -> Refusal {
        let now = Instant::now();
        let mut state = self.state();
        let waiting = state.queue.len();
        let rate = state.drain_rate.rate(now).unwrap_or_default();
        let retry_after_ms =
            state
                .retry_jitter
                .next_retry_after(waiting, rate, now, &mut rand::rng());
        Refusal::not_run(kind).with_retry_after(retry_after_ms)
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.state().queue.len()
    }

    /// Records that a request has acquired its slot.
    pub(super) fn record_served(&self) {
        self.state().drain_rate.record_served();
    }

    /// Passes a turn that has ended to the next request that still waits.
    pub(super) fn grant_next(self: Arc<Self>) {
        while let Some(next) = self.pop_next() {
            match next.send(Turn::new(Arc::clone(&self))) {
                Ok(()) => return,
                Err(turn) => turn.disarm(),
            }
        }
    }

    /// Starts a turn immediately if one is free and no request waits.
    fn try_start_turn(&self) -> bool {
        let mut state = self.state();
        let is_free = state.active_turns < MAX_ACTIVE_TURNS && state.queue.is_empty();
        state.active_turns += u32::from(is_free);
        is_free
    }

    /// Returns a refusal if the expected wait exceeds the deadline of the request.
    fn check_deadline(
        &self,
        team: &TeamId,
        weight: ShareWeight,
        deadline: Instant,
    ) -> Result<(), Refusal> {
        let now = Instant::now();
        let expected = self.expected_wait(team, weight, now);
        match expected {
            Some(expected) if now + expected > deadline => {
                let (service, expected_ms) = (self.service.clone(), expected.into());
                Err(self.refuse(RefusalKind::DeadlineTooClose {
                    service,
                    expected_ms,
                }))
            }
            _ => Ok(()),
        }
    }

    /// Returns the expected waiting time of a new request, if the drain rate is known.
    fn expected_wait(&self, team: &TeamId, weight: ShareWeight, now: Instant) -> Option<Duration> {
        let state = self.state();
        let rate = state.drain_rate.rate(now)?;
        let ahead = state.queue.max_ahead_of(team, weight);
        Duration::try_from_secs_f64(ahead as f64 / rate.get()).ok()
    }

    /// Adds a request. A request that is evicted from a full queue is notified by the drop of its
    /// sender.
    fn push(
        &self,
        team: &TeamId,
        weight: ShareWeight,
        priority: Priority,
        sender: oneshot::Sender<Turn>,
    ) -> QueuePosition {
        let mut state = self.state();
        state.drain_rate.record_waiting(true, Instant::now());
        let (position, _evicted) = state.queue.push(team, weight, priority, sender);
        position
    }

    /// Removes the next request; ends the turn if no request waits.
    fn pop_next(&self) -> Option<oneshot::Sender<Turn>> {
        let mut state = self.state();
        let next = state.queue.pop();
        let is_waiting = !state.queue.is_empty();
        state.drain_rate.record_waiting(is_waiting, Instant::now());
        if next.is_none() {
            state.active_turns = state.active_turns.saturating_sub(1);
        }
        next
    }

    fn remove(&self, position: &QueuePosition) {
        self.state().queue.remove(position);
    }

    fn state(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Removes a request from its queue when dropped, so that an aborted wait leaves no entry behind.
struct QueueEntryGuard<'a> {
    queue: &'a ServiceQueue,
    position: QueuePosition,
}

impl Drop for QueueEntryGuard<'_> {
    fn drop(&mut self) {
        self.queue.remove(&self.position);
    }
}
