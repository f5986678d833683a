//! When a quarantined cause may be probed, and by which node.

use std::time::Duration;

use cuminlb_types::prelude::*;
use cuminlb_types::rendezvous_rank;
use tokio::time::Instant;

use super::{CrashCause, QuarantinedCause};

/// The time after the latest crash until the first probe.
const MIN_DELAY: Duration = Duration::from_millis(4_000);

/// The maximum time between two probes.
const MAX_DELAY: Duration = Duration::from_secs(600);

/// The factor by which the delay exceeds the time for which a cause has gone on crashing, so that ever
/// fewer probes are sent the longer it does.
const DELAY_FACTOR: u32 = 3;

/// The period in which one node may send a probe; the next one takes turns with another node.
const TURN: Duration = Duration::from_millis(3_000);

/// The time of a turn in which the probe may be sent. The rest is left for its outcome to reach all
/// nodes.
const SEND_WINDOW: Duration = Duration::from_millis(1_500);

/// The times at which a quarantined cause may be probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeSchedule {
    starts_at: Instant,
}

impl ProbeSchedule {
    /// Returns the schedule of a cause.
    pub fn new(quarantined: &QuarantinedCause) -> Self {
        let crashing = quarantined.last_crash_at.duration_since(quarantined.since);
        let delay = (crashing * DELAY_FACTOR).clamp(MIN_DELAY, MAX_DELAY);
        Self {
            starts_at: quarantined.last_crash_at + delay,
        }
    }

    /// Returns the number of the turn in which a probe may be sent now.
    pub fn turn(&self, now: Instant) -> Option<u64> {
        let elapsed = now.checked_duration_since(self.starts_at)?;
        let turn = elapsed.as_millis() / TURN.as_millis();
        let in_turn = elapsed.as_millis() % TURN.as_millis();
        let is_open = in_turn < SEND_WINDOW.as_millis();
        is_open.then_some(u64::try_from(turn).unwrap_or(u64::MAX))
    }

    /// Returns the time until a probe may be sent again, by some node.
    pub fn wait_ms(&self, now: Instant) -> Millis {
        match now.checked_duration_since(self.starts_at) {
            None => self.starts_at.duration_since(now).into(),
            Some(elapsed) => {
                let in_turn = elapsed.as_millis() % TURN.as_millis();
                let wait = TURN.as_millis() - in_turn;
                Millis(u64::try_from(wait).unwrap_or(u64::MAX))
            }
        }
    }

    /// Returns whether it is the turn of node `own_id`, among all `nodes`, to probe a cause.
    pub fn is_turn_of<'a>(
        cause: &CrashCause,
        turn: u64,
        own_id: &NodeId,
        nodes: impl Iterator<Item = &'a NodeId>,
    ) -> bool {
        let key = format!("{cause}/{turn}");
        let first = nodes.max_by_key(|node| rendezvous_rank(&key, node));
        first.is_none_or(|first| first == own_id)
    }
}
