//! What a request does that no instance can take at present.

use std::time::Duration;

use cuminlb_types::prelude::*;
use rand::RngExt;
use tokio::time::Instant;

use super::WaitDecision;
use crate::limits::Availability;

/// The shortest and the longest time over which the retries of refused callers are spread.
const MIN_RETRY_SPREAD: Duration = Duration::from_millis(1_000);
const MAX_RETRY_SPREAD: Duration = Duration::from_millis(2_000);

/// Why no instance can take a request at present, and when one may.
///
/// This answers the load of callers that keep coming while all instances are full and have asked to
/// be left alone: a request waits only if that can still be useful, and the callers of the others
/// return after the earliest time at which an instance accepts requests, not all at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Unavailability {
    /// The earliest time at which an instance that the request has not tried accepts requests.
    untried_until: Option<Instant>,
    /// The earliest time at which any instance that could serve the request accepts requests.
    any_until: Option<Instant>,
    /// Whether an instance has no capacity for the request, but may have soon.
    has_limited: bool,
    /// Whether the request was refused because too many others wait for slots.
    is_overload: bool,
}

impl Unavailability {
    /// Adds an instance that could serve the request, if it is not available now.
    pub fn add(&mut self, availability: Availability, is_tried: bool) {
        match availability {
            Availability::Now | Availability::Never => {}
            Availability::At(until) => self.add_waiting(until, is_tried),
            // The caller may find the other node, but the request need not wait here.
            Availability::Elsewhere(until) => self.add_waiting(until, true),
            Availability::Limited if is_tried => {}
            Availability::Limited => self.add_limited(),
        }
    }

    /// Adds an instance that could serve the request but wants none before `until`.
    pub fn add_waiting(&mut self, until: Instant, is_tried: bool) {
        let earliest = |known: Option<Instant>| Some(known.map_or(until, |it| it.min(until)));
        self.any_until = earliest(self.any_until);
        if !is_tried {
            self.untried_until = earliest(self.untried_until);
        }
    }

    /// Adds an instance that has no capacity for the request, but may have soon.
    pub const fn add_limited(&mut self) {
        self.has_limited = true;
    }

    /// Returns the state in which a request is refused because too many others wait for slots.
    pub fn overload() -> Self {
        Self {
            is_overload: true,
            ..Self::default()
        }
    }

    /// Returns whether the request was refused because too many others wait for slots.
    pub const fn is_overload(&self) -> bool {
        self.is_overload
    }

    /// Decides whether a request waits that may usefully wait until `wait_until`.
    pub fn decide(&self, wait_until: Instant) -> WaitDecision {
        match self.untried_until {
            _ if self.is_overload => WaitDecision::Refuse,
            Some(until) if until <= wait_until => WaitDecision::WaitUntil(until),
            _ if self.has_limited || self.any_until.is_none() => WaitDecision::WaitForChange,
            _ => WaitDecision::Refuse,
        }
    }

    /// Returns the delay after which the caller should retry; `None` if no instance has stated when
    /// it accepts requests.
    pub fn retry_after(&self, now: Instant, rng: &mut impl rand::Rng) -> Option<Millis> {
        let delay = self.any_until?.saturating_duration_since(now);
        let spread = delay.clamp(MIN_RETRY_SPREAD, MAX_RETRY_SPREAD);
        let delay = delay + spread.mul_f64(rng.random_range(0.0..1.0));
        Some(Millis::from(delay))
    }
}
