//! Detects that the machine was suspended.

use std::time::Duration;

/// How much the clocks may drift apart without a suspension.
const MAX_DRIFT: Duration = Duration::from_millis(20);

/// Detects that the machine was suspended, by two clocks of which only one continues meanwhile.
///
/// A lease that was measured by the other clock may have ended during the suspension.
#[derive(Clone, Copy, Debug, Default)]
pub struct SuspensionWatch {
    /// The time for which the machine had been suspended since it booted, when last observed.
    suspended: Option<Duration>,
}

impl SuspensionWatch {
    /// Compares the time since the machine booted, including suspensions, with the time that it ran.
    /// Returns whether the machine was suspended since the previous call.
    pub fn observe(&mut self, since_boot: Duration, running: Duration) -> bool {
        let suspended = since_boot.saturating_sub(running);
        let previous = self.suspended.replace(suspended);
        previous.is_some_and(|previous| suspended > previous + MAX_DRIFT)
    }
}
