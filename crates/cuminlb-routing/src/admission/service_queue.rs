//! [`ServiceQueue`].

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cuminlb_types::prelude::*;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::{AdmissionLimits, DrainRate, FairQueue, Priority, QueuePlace, RetrySpread, Turn};
use crate::{Refusal, RefusalKind};

/// The number of requests of one service that ask for slots at once.
const MAX_ASKING: u32 = 8;

/// The requests of one service that wait at this node; only the first of them ask for slots.
#[derive(Debug)]
pub struct ServiceQueue {
    service: ServiceId,
    state: Mutex<QueueState>,
}

#[derive(Debug)]
struct QueueState {
    queue: FairQueue<oneshot::Sender<Turn>>,
    asking: u32,
    drain: DrainRate,
    spread: RetrySpread,
}

impl ServiceQueue {
    /// Creates an empty queue.
    pub fn new(service: ServiceId, limits: &AdmissionLimits) -> Self {
        Self {
            service,
            state: Mutex::new(QueueState {
                queue: FairQueue::new(limits.max_waiting),
                asking: 0,
                drain: DrainRate::default(),
                spread: RetrySpread::new(Instant::now()),
            }),
        }
    }

    /// Waits until it is the turn of a request to ask for a slot.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] when the queue is full or the turn can't come before `deadline`.
    pub async fn wait_turn(
        self: &Arc<Self>,
        team: &TeamId,
        weight: ShareWeight,
        priority: Priority,
        deadline: Instant,
    ) -> Result<Turn, Refusal> {
        let started = Instant::now();
        if self.ask_at_once() {
            return Ok(Turn::new(Arc::clone(self)));
        }
        self.check_deadline(team, weight, deadline)?;
        let (sender, receiver) = oneshot::channel();
        let waiting = WaitingPlace {
            queue: self,
            place: self.push(team, weight, priority, sender),
        };
        let turn = tokio::time::timeout_at(deadline, receiver).await;
        drop(waiting);
        let service = self.service.clone();
        match turn {
            Ok(Ok(turn)) => Ok(turn),
            Ok(Err(_evicted)) => Err(self.refuse(RefusalKind::QueueFull { service })),
            Err(_elapsed) => Err(self.refuse(RefusalKind::NoSlot {
                service,
                waited_ms: started.elapsed().into(),
            })),
        }
    }

    /// Refuses a request and says when to come back, spread over a window that grows with the
    /// number of callers that wait or were refused.
    pub fn refuse(&self, kind: RefusalKind) -> Refusal {
        let now = Instant::now();
        let mut state = self.state();
        let waiting = state.queue.len();
        let rate = state.drain.rate(now).unwrap_or_default();
        let retry_after_ms = state.spread.defer(waiting, rate, now, &mut rand::rng());
        Refusal::not_run(kind).with_retry_after(retry_after_ms)
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.state().queue.len()
    }

    pub(super) fn note_served(&self) {
        self.state().drain.note_served();
    }

    /// Gives the turn that has ended to the next request that still waits.
    pub(super) fn pass_on(self: Arc<Self>) {
        while let Some(next) = self.take_next() {
            match next.send(Turn::new(Arc::clone(&self))) {
                Ok(()) => return,
                Err(turn) => turn.cancel(),
            }
        }
    }

    fn ask_at_once(&self) -> bool {
        let mut state = self.state();
        let is_free = state.asking < MAX_ASKING && state.queue.is_empty();
        state.asking += u32::from(is_free);
        is_free
    }

    /// Refuses a request that would get its turn after its deadline.
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

    fn expected_wait(&self, team: &TeamId, weight: ShareWeight, now: Instant) -> Option<Duration> {
        let state = self.state();
        let rate = state.drain.rate(now)?;
        let ahead = state.queue.ahead_of(team, weight);
        Duration::try_from_secs_f64(ahead as f64 / rate.get()).ok()
    }

    /// Adds a request; the one that a full queue gives up learns of it when its sender drops.
    fn push(
        &self,
        team: &TeamId,
        weight: ShareWeight,
        priority: Priority,
        sender: oneshot::Sender<Turn>,
    ) -> QueuePlace {
        let mut state = self.state();
        state.drain.note_waiting(true, Instant::now());
        let (place, _evicted) = state.queue.push(team, weight, priority, sender);
        place
    }

    fn take_next(&self) -> Option<oneshot::Sender<Turn>> {
        let mut state = self.state();
        let next = state.queue.pop();
        let is_waiting = !state.queue.is_empty();
        state.drain.note_waiting(is_waiting, Instant::now());
        if next.is_none() {
            state.asking = state.asking.saturating_sub(1);
        }
        next
    }

    fn leave(&self, place: &QueuePlace) {
        self.state().queue.remove(place);
    }

    fn state(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A place in a queue; it is left when this is dropped.
struct WaitingPlace<'a> {
    queue: &'a ServiceQueue,
    place: QueuePlace,
}

impl Drop for WaitingPlace<'_> {
    fn drop(&mut self) {
        self.queue.leave(&self.place);
    }
}
