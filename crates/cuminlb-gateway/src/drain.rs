//! The planned stop of this node.

use std::sync::Arc;
use std::time::Duration;

use cuminlb_config::GatewaySettings;
use cuminlb_routing::DrainSchedule;
use futures_util::future::OptionFuture;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

/// Whether this node was asked to stop, and the times of the stop.
///
/// The platform counts the grace from its signal, so that a longer one in later settings does not hold
/// for this stop. A shorter one does, as a precaution.
#[derive(Clone, Debug)]
pub(crate) struct Drain {
    /// The current settings.
    live: watch::Receiver<Arc<GatewaySettings>>,
    /// When the node was asked to stop, and the grace at that time.
    signal: Arc<watch::Sender<Option<(Instant, Duration)>>>,
}

impl Drain {
    /// Returns the state of a node that was not asked to stop.
    pub(crate) fn new(live: watch::Receiver<Arc<GatewaySettings>>) -> Self {
        let signal = Arc::new(watch::Sender::new(None));
        Self { live, signal }
    }

    /// Starts the stop.
    pub(crate) fn start(&self) {
        let grace = self.newest_grace();
        self.signal.send_if_modified(|signal| {
            let is_first = signal.is_none();
            signal.get_or_insert_with(|| (Instant::now(), grace));
            is_first
        });
    }

    /// Returns whether the node was asked to stop.
    pub(crate) fn has_started(&self) -> bool {
        self.signal.borrow().is_some()
    }

    /// Returns the times of the stop, if the node was asked to stop.
    pub(crate) fn schedule(&self) -> Option<DrainSchedule> {
        let (signaled_at, grace) = (*self.signal.borrow())?;
        let grace = grace.min(self.newest_grace());
        Some(DrainSchedule::new(signaled_at, grace))
    }

    fn newest_grace(&self) -> Duration {
        self.live.borrow().bounds.grace_ms.duration()
    }

    /// Returns whether a time of the stop has passed.
    pub(crate) fn has_passed(&self, time: impl Fn(&DrainSchedule) -> Instant) -> bool {
        let schedule = self.schedule();
        schedule.is_some_and(|schedule| Instant::now() >= time(&schedule))
    }

    /// Waits until a time of the stop has passed; for ever if the node is never asked to stop.
    ///
    /// The time may depend only on the schedule.
    pub(crate) async fn passed(&self, time: impl Fn(&DrainSchedule) -> Instant) {
        let mut signals = self.signal.subscribe();
        let mut settings = self.live.clone();
        settings.mark_unchanged();
        while !self.has_passed(&time) {
            let timer = self.schedule().map(|schedule| time(&schedule));
            let timer = OptionFuture::from(timer.map(sleep_until));
            tokio::select! {
                Some(()) = timer => {}
                Ok(()) = signals.changed() => {}
                Ok(()) = settings.changed() => {}
            }
        }
    }

    /// Waits until requests whose response has not begun must be answered.
    pub(crate) async fn answers_due(&self) {
        self.passed(DrainSchedule::answers_by).await;
    }

    /// Waits until the connections that remain must be aborted. The answers that are due can be sent
    /// before, also if newer settings have just shortened the grace.
    pub(crate) async fn aborts(&self) {
        self.answers_due().await;
        if let Some(schedule) = self.schedule() {
            sleep(schedule.answer_margin()).await;
        }
    }
}
