//! [`BootTime`].

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// The time since the machine started, in which it may have been suspended: the steady clock
/// stands still meanwhile, and a lease must not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct BootTime(Duration);

impl BootTime {
    /// Returns the present time; zero where the system does not tell it, which makes no lease
    /// valid for longer.
    pub(super) fn now() -> Self {
        match clock_gettime(ClockId::CLOCK_BOOTTIME) {
            Ok(time) => Self(time.into()),
            Err(error) => {
                log::warn!("the time since the start of the machine is not known: {error}");
                Self(Duration::ZERO)
            }
        }
    }

    /// Returns the time that is a while later.
    pub(super) const fn after(self, time: Duration) -> Self {
        Self(self.0.saturating_add(time))
    }
}
