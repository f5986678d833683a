//! [`SilenceWatch`].

use std::time::Duration;

use cuminlb_types::prelude::*;
use tokio::time::Instant;

use super::group_standing::GroupStanding;
use super::in_flight::InFlight;

/// How often a request that hears nothing says so.
const REPORT_PERIOD: Duration = Duration::from_millis(250);

/// The silence after which a request is sent elsewhere although nobody knows whether its group
/// stands still: that costs another reading of the prompt, so a group that is merely slow keeps it.
const GIVE_UP_SILENCE: Duration = Duration::from_millis(900);

/// The silence after which a request is sent elsewhere although its instance sends to others: its
/// connection may have gone silent, and callers leave soon after.
const ALONE_SILENCE: Duration = Duration::from_millis(1_800);

/// What to make of the time in which nothing came for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Silence {
    /// It says nothing.
    Usual,
    /// The instance should be suspected.
    Suspicious,
    /// Another instance should go on.
    TooLong,
}

/// Watches how long nothing comes for one request at an instance.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SilenceWatch {
    reported_at: Option<Instant>,
    /// Whether no other instance may go on, so that a group that may still answer keeps the request.
    is_last: bool,
}

impl SilenceWatch {
    /// Starts to watch a request; `is_last` where no other instance may go on with it.
    pub(super) const fn new(is_last: bool) -> Self {
        Self {
            reported_at: None,
            is_last,
        }
    }

    /// Judges the silence since `heard_at`, which is suspicious after `limit` if the instance sends
    /// nothing to other requests of this node either.
    pub(super) fn look(
        &mut self,
        in_flight: &InFlight,
        heard_at: Instant,
        limit: Duration,
        epoch: Epoch,
    ) -> Silence {
        let now = Instant::now();
        let silence = now.duration_since(heard_at);
        let instance_silence = silence.min(in_flight.load().silence(now));
        let standing = in_flight.load().standing(epoch, now);
        let is_too_long = if standing.is_some_and(GroupStanding::is_lost) {
            instance_silence >= limit
        } else {
            !self.is_last
                && (instance_silence >= GIVE_UP_SILENCE.max(limit)
                    || silence >= ALONE_SILENCE.max(limit))
        };
        if is_too_long {
            return Silence::TooLong;
        }
        let is_reported = self
            .reported_at
            .is_some_and(|at| now.duration_since(at) < REPORT_PERIOD);
        if instance_silence < limit || is_reported {
            return Silence::Usual;
        }
        self.reported_at = Some(now);
        Silence::Suspicious
    }
}
