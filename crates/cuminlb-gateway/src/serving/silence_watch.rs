//! Evaluates how long an instance has sent nothing for a request.

use std::time::Duration;

use cuminlb_peer::GroupHealth;
use cuminlb_types::prelude::*;
use tokio::time::Instant;

use super::in_flight_guard::InFlightGuard;

/// How often a request that receives nothing reports its instance as suspicious.
const SUSPICION_REPORT_PERIOD: Duration = Duration::from_millis(250);

/// Silence after which a request fails over although it is unknown whether its group is stalled. A
/// failover costs another prefill of the prompt, so a group that is merely slow keeps the request.
const UNCONFIRMED_FAILOVER_SILENCE: Duration = Duration::from_millis(900);

/// Silence after which a request fails over although its instance sends to other requests. Its
/// connection may be dead, and callers leave soon after.
const SINGLE_REQUEST_FAILOVER_SILENCE: Duration = Duration::from_millis(1_800);

/// The evaluation of the time during which nothing was received for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Silence {
    /// The silence is within the expected range.
    Normal,
    /// The instance should be suspected.
    Suspicious,
    /// The request should fail over to another instance.
    TooLong,
}

/// Tracks how long nothing is received for one request at an instance.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SilenceWatch {
    reported_at: Option<Instant>,
    /// Whether no other instance may take over, so that a group that may still respond keeps the
    /// request.
    is_last_attempt: bool,
}

impl SilenceWatch {
    /// Starts to watch a request. `is_last_attempt` is set if no other instance may take it over.
    pub(super) const fn new(is_last_attempt: bool) -> Self {
        Self {
            reported_at: None,
            is_last_attempt,
        }
    }

    /// Evaluates the silence since `last_seen_at`. It is suspicious after `limit` if the instance
    /// sends nothing to other requests of this node either.
    pub(super) fn check(
        &mut self,
        in_flight: &InFlightGuard,
        last_seen_at: Instant,
        limit: Duration,
        epoch: Epoch,
    ) -> Silence {
        let now = Instant::now();
        let silence = now.duration_since(last_seen_at);
        let instance_silence = silence.min(in_flight.load().silence(now));
        let group_health = in_flight.load().group_health(epoch, now);
        let is_too_long = if group_health.is_some_and(GroupHealth::is_lost) {
            instance_silence >= limit
        } else {
            !self.is_last_attempt
                && (instance_silence >= UNCONFIRMED_FAILOVER_SILENCE.max(limit)
                    || silence >= SINGLE_REQUEST_FAILOVER_SILENCE.max(limit))
        };
        if is_too_long {
            return Silence::TooLong;
        }
        let is_recently_reported = self
            .reported_at
            .is_some_and(|at| now.duration_since(at) < SUSPICION_REPORT_PERIOD);
        if instance_silence < limit || is_recently_reported {
            return Silence::Normal;
        }
        self.reported_at = Some(now);
        Silence::Suspicious
    }
}
