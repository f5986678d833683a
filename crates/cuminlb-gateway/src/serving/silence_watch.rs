//! Evaluates how long an instance has sent nothing for a request.

use std::time::Duration;

use cuminlb_peer::GroupHealth;
use cuminlb_types::prelude::*;
use tokio::time::Instant;

use super::in_flight_guard::InFlightGuard;
use super::silence::Silence;

/// How often a request that receives nothing reports its instance as suspicious.
const SUSPICION_REPORT_PERIOD: Duration = Duration::from_millis(250);

/// Silence after which a request is offered to another group although it is unknown whether its own
/// is stalled. A failover costs another prefill of the prompt, so a group that is merely slow keeps
/// the request.
const UNCONFIRMED_FAILOVER_SILENCE: Duration = Duration::from_millis(900);

/// Silence after which a request is offered to another group although its instance sends to other
/// requests. Its connection may be dead, and callers leave soon after.
const SINGLE_REQUEST_FAILOVER_SILENCE: Duration = Duration::from_millis(1_800);

/// Tracks how long nothing is received for one request at an instance.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SilenceWatch {
    suspected_at: Option<Instant>,
    /// When the silence was last reported as too long.
    reported_at: Option<Instant>,
}

impl SilenceWatch {
    /// Evaluates the silence since `last_seen_at`. It is suspicious after `limit` if the instance
    /// sends nothing to other requests of this node either. A silence that goes on is reported as
    /// too long again after the same time.
    pub(super) fn check(
        &mut self,
        in_flight: &InFlightGuard,
        last_seen_at: Instant,
        limit: Duration,
        epoch: Epoch,
    ) -> Silence {
        let now = Instant::now();
        let load = in_flight.load();
        let silence = now.duration_since(last_seen_at);
        let instance_silence = silence.min(load.silence(now));
        let unreported = self.reported_at.map_or(silence, |at| silence.min(now - at));
        let is_lost = load
            .group_health(epoch, now)
            .is_some_and(GroupHealth::is_lost);
        if is_too_long(unreported, instance_silence, limit, is_lost) {
            self.reported_at = Some(now);
            return Silence::TooLong;
        }
        let is_recently_suspected = self
            .suspected_at
            .is_some_and(|at| now.duration_since(at) < SUSPICION_REPORT_PERIOD);
        if instance_silence < limit || is_recently_suspected {
            return Silence::Normal;
        }
        self.suspected_at = Some(now);
        Silence::Suspicious
    }
}

/// Returns whether a request should be offered to another instance after a silence that has not been
/// reported for `unreported`.
fn is_too_long(
    unreported: Duration,
    instance_silence: Duration,
    limit: Duration,
    is_lost: bool,
) -> bool {
    let instance_silence = unreported.min(instance_silence);
    if is_lost {
        return instance_silence >= limit;
    }
    instance_silence >= UNCONFIRMED_FAILOVER_SILENCE.max(limit)
        || unreported >= SINGLE_REQUEST_FAILOVER_SILENCE.max(limit)
}
