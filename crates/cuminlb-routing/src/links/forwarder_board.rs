//! Which nodes forward the requests of a node that has lost its links.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cuminlb_types::prelude::*;
use rand::RngExt;
use tokio::time::Instant;

use super::{ForwarderCandidate, ForwarderOutcome};

/// How long a node that reaches no instances, or did not respond, is not asked again.
const UNFIT_PERIOD: Duration = Duration::from_millis(1_500);

/// How long a node that has too much to do is not asked again.
const BUSY_PERIOD: Duration = Duration::from_millis(300);

/// How long a node that could forward a request is preferred to those that have not been asked.
const ABLE_PERIOD: Duration = Duration::from_millis(3_000);

/// The fraction of requests for which nodes that have not been asked come first, so that more than one
/// node is found.
const EXPLORATION_FRACTION: f64 = 0.15;

/// Minimum interval between two checks of a node that does not respond.
const CHECK_PERIOD: Duration = Duration::from_millis(300);

/// Which nodes forward the requests of a node that has lost its links.
///
/// This answers the load of many nodes that lose their links at once: the others share it evenly, those
/// of the same availability zone first, and a node that refuses is left alone for a while.
#[derive(Debug, Default)]
pub struct ForwarderBoard {
    known: Mutex<Known>,
}

#[derive(Debug, Default)]
struct Known {
    unfit_until: BTreeMap<NodeId, Instant>,
    able_until: BTreeMap<NodeId, Instant>,
    checked_at: BTreeMap<NodeId, Instant>,
}

impl ForwarderBoard {
    /// Records what came of asking a node.
    pub fn record(&self, node: &NodeId, outcome: ForwarderOutcome, now: Instant) {
        let mut known = self.known();
        let period = match outcome {
            ForwarderOutcome::Able => {
                known.unfit_until.remove(node);
                known.able_until.insert(node.clone(), now + ABLE_PERIOD);
                return;
            }
            ForwarderOutcome::NoLinks | ForwarderOutcome::Failed => UNFIT_PERIOD,
            ForwarderOutcome::Busy => BUSY_PERIOD,
        };
        known.able_until.remove(node);
        known.unfit_until.insert(node.clone(), now + period);
    }

    /// Returns the nodes to ask, in order.
    pub fn order(
        &self,
        candidates: Vec<ForwarderCandidate>,
        now: Instant,
        rng: &mut impl rand::Rng,
    ) -> Vec<NodeId> {
        let mut known = self.known();
        known.unfit_until.retain(|_, until| now < *until);
        known.able_until.retain(|_, until| now < *until);
        let explores = rng.random_bool(EXPLORATION_FRACTION);
        let fit = candidates
            .into_iter()
            .filter(|candidate| !known.unfit_until.contains_key(&candidate.node));
        let mut ranked: Vec<_> = fit
            .map(|it| {
                let is_able = known.able_until.contains_key(&it.node);
                (
                    is_able == explores,
                    !it.is_same_zone,
                    rng.random::<u32>(),
                    it.node,
                )
            })
            .collect();
        ranked.sort();
        ranked.into_iter().map(|(.., node)| node).collect()
    }

    /// Returns whether a node that does not respond should be checked now, which it is not again for a
    /// while.
    pub fn begin_check(&self, node: &NodeId, now: Instant) -> bool {
        let mut known = self.known();
        let is_recent = |at: &Instant| now.duration_since(*at) < CHECK_PERIOD;
        known.checked_at.retain(|_, at| is_recent(at));
        let is_due = !known.checked_at.contains_key(node);
        if is_due {
            known.checked_at.insert(node.clone(), now);
        }
        is_due
    }

    fn known(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
