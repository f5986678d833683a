//! Which of many denials are logged.

use std::time::Duration;

use tokio::time::Instant;

/// The shortest time between two log lines.
const MIN_LOG_PERIOD: Duration = Duration::from_secs(1);

/// Selects which of many denials are logged.
#[derive(Debug, Default)]
pub(super) struct DenialLog {
    logged_at: Option<Instant>,
    /// The denials since then.
    unlogged: u32,
}

impl DenialLog {
    /// Records a denial. If it is to be logged, returns the number of denials that the line stands for.
    pub(super) fn record(&mut self, now: Instant) -> Option<u32> {
        self.unlogged += 1;
        let is_due = |at| now.duration_since(at) >= MIN_LOG_PERIOD;
        if !self.logged_at.is_none_or(is_due) {
            return None;
        }
        self.logged_at = Some(now);
        Some(std::mem::take(&mut self.unlogged))
    }
}
