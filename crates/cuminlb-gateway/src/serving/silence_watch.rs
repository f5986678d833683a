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
}

impl SilenceWatch {
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
        let patience = match in_flight.load().standing(epoch, now) {
            Some(GroupStanding::MemberLost | GroupStanding::HeadLost) => limit,
            Some(GroupStanding::Intact | GroupStanding::Straggling) | None => {
                GIVE_UP_SILENCE.max(limit)
            }
        };
        if instance_silence >= patience || silence >= ALONE_SILENCE.max(limit) {
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
