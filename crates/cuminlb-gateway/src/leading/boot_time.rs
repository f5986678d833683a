//! A clock that continues while the machine is suspended.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// The time since the machine booted, including the time in which it was suspended. The monotonic
/// clock does not advance during a suspension, but a lease must expire nevertheless.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct BootTime(Duration);

impl BootTime {
    /// Returns the current time; zero if the system can't report it. A zero never makes a lease
    /// valid for longer than the monotonic clock allows.
    pub(super) fn now() -> Self {
        match clock_gettime(ClockId::CLOCK_BOOTTIME) {
            Ok(time) => Self(time.into()),
            Err(error) => {
                log::warn!("failed to read CLOCK_BOOTTIME: {error}");
                Self(Duration::ZERO)
            }
        }
    }

    /// Returns the time as a duration since the machine booted.
    pub(super) const fn since_boot(self) -> Duration {
        self.0
    }

    /// Returns the time that is later by `time`.
    pub(super) const fn after(self, time: Duration) -> Self {
        Self(self.0.saturating_add(time))
    }
}

/// Returns the time for which the machine has run since it booted, without suspensions; the longest
/// possible one if the system can't report it, so that no suspension is seen.
pub(super) fn running_time() -> Duration {
    match clock_gettime(ClockId::CLOCK_MONOTONIC) {
        Ok(time) => time.into(),
        Err(error) => {
            log::warn!("failed to read CLOCK_MONOTONIC: {error}");
            Duration::MAX
        }
    }
}
