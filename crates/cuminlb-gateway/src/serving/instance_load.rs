//! The load and health of one instance, as observed by this node.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cuminlb_peer::GroupHealth;
use cuminlb_replica::NodeRow;
use cuminlb_routing::{BodyBudget, LimitChange, LimitPlace, NodeRank, RecentSends, StatedLimit};
use cuminlb_types::prelude::*;
use tokio::time::Instant;

use super::node_position::NodePosition;

/// How long an instance that has fallen silent receives no new requests, unless it sends something.
const SUSPICION_PERIOD: Duration = Duration::from_millis(1_500);

/// Minimum interval between two probes of the group of a silent head.
const GROUP_PROBE_PERIOD: Duration = Duration::from_millis(500);

/// How long the result of a group probe is valid.
const MAX_GROUP_HEALTH_AGE: Duration = Duration::from_millis(1_000);

/// How long an instance that has refused a request is chosen only if no other is eligible.
const REFUSAL_PENALTY: Duration = Duration::from_millis(300);

/// Window in which sent requests are counted: one second plus a margin for varying latency in
/// transit.
const RATE_WINDOW: Duration = Duration::from_millis(1_100);

/// Weight of one outcome in the moving average of the failure rate.
const FAILURE_WEIGHT: f64 = 0.2;

/// What this node has observed of one instance through its own requests.
#[derive(Debug)]
pub(super) struct InstanceLoad {
    pub(super) in_flight: AtomicU32,
    /// Those of its requests that yield to others and have not begun.
    pub(super) yielding: AtomicU32,
    /// The memory that its responses may hold.
    pub(super) response_budget: BodyBudget,
    observations: Mutex<Observations>,
}

#[derive(Debug)]
struct Observations {
    last_progress_at: Instant,
    /// The epoch in which the instance fell silent, and when the suspicion expires.
    suspicion: Option<(Epoch, Instant)>,
    /// When its group was last probed.
    group_probed_at: Option<Instant>,
    /// The result of the latest group probe: the epoch, the health, and the time of the probe.
    group_health: Option<(Epoch, GroupHealth, Instant)>,
    penalty_until: Option<Instant>,
    failure_rate: f64,
    recent_sends: RecentSends,
    /// This node's position in the order of the nodes that is specific to the instance.
    position: Option<NodePosition>,
    /// The rate limit that the instance states.
    limit: StatedLimit,
}

impl InstanceLoad {
    pub(super) fn new(response_budget: BodyBudget, now: Instant) -> Self {
        Self {
            in_flight: AtomicU32::new(0),
            yielding: AtomicU32::new(0),
            response_budget,
            observations: Mutex::new(Observations {
                last_progress_at: now,
                suspicion: None,
                group_probed_at: None,
                group_health: None,
                penalty_until: None,
                failure_rate: 0.0,
                recent_sends: RecentSends::default(),
                position: None,
                limit: StatedLimit::default(),
            }),
        }
    }

    /// Returns the number of requests of this node that are in flight at the instance.
    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the number of these requests that yield to others and have not begun.
    pub(super) fn yielding(&self) -> u32 {
        self.yielding.load(Ordering::Relaxed)
    }

    /// Records that a request is sent to the instance.
    pub(super) fn record_send(&self, now: Instant) {
        self.observations().recent_sends.record(now);
    }

    /// Returns the number of requests that this node has sent to the instance within
    /// [`RATE_WINDOW`], about a second.
    pub(super) fn recent_send_count(&self, now: Instant) -> usize {
        let observations = self.observations();
        observations.recent_sends.count_within(RATE_WINDOW, now)
    }

    /// Returns the rank of a node in the order of all `nodes` that is specific to the instance `id`.
    /// It is computed again only when the nodes have changed.
    pub(super) fn node_rank(
        &self,
        id: &InstanceId,
        own_id: &NodeId,
        nodes: &Arc<BTreeMap<NodeId, NodeRow>>,
    ) -> NodeRank {
        let mut observations = self.observations();
        let known = observations.position.take();
        let known = known.filter(|known| known.is_of(nodes));
        let known = known.unwrap_or_else(|| NodePosition::new(id, own_id, nodes));
        observations.position.insert(known).rank()
    }

    /// Records what the response to a request that was sent at `sent_at` states about the rate limit of an
    /// incarnation of the instance. Returns what that changes.
    pub(super) fn record_limit(
        &self,
        incarnation: Incarnation,
        statement: RateStatement,
        sent_at: Instant,
    ) -> Option<LimitChange> {
        let mut observations = self.observations();
        observations.limit.record(incarnation, statement, sent_at)
    }

    /// Returns whether the rate limit that an incarnation of the instance states leaves a place for a
    /// request of the node at `rank`.
    pub(super) fn limit_place(
        &self,
        incarnation: Incarnation,
        rank: NodeRank,
        now: Instant,
    ) -> LimitPlace {
        let observations = self.observations();
        let sends = &observations.recent_sends;
        let clock = UnixMillis::now();
        observations
            .limit
            .place(incarnation, sends, rank, now, clock)
    }

    /// Returns whether the instance has stated a rate limit that holds.
    pub(super) fn is_limited(&self) -> bool {
        self.observations().limit.is_limited()
    }

    /// Records that something was received from the instance.
    pub(super) fn record_progress(&self, now: Instant) {
        let mut observations = self.observations();
        observations.last_progress_at = now;
        observations.suspicion = None;
    }

    /// Returns the time since something was last received from the instance.
    pub(super) fn silence(&self, now: Instant) -> Duration {
        now.duration_since(self.observations().last_progress_at)
    }

    /// Marks the instance as silent. Returns whether its group should be probed, that is, whether
    /// the last probe is at least [`GROUP_PROBE_PERIOD`] ago.
    pub(super) fn suspect(&self, epoch: Epoch, now: Instant) -> bool {
        let mut observations = self.observations();
        observations.suspicion = Some((epoch, now + SUSPICION_PERIOD));
        let is_recently_probed = observations
            .group_probed_at
            .is_some_and(|at| now.duration_since(at) < GROUP_PROBE_PERIOD);
        if !is_recently_probed {
            observations.group_probed_at = Some(now);
        }
        !is_recently_probed
    }

    /// Records the result of a probe of the instance's group.
    pub(super) fn record_group_health(
        &self,
        epoch: Epoch,
        group_health: GroupHealth,
        now: Instant,
    ) {
        let mut observations = self.observations();
        observations.group_health = Some((epoch, group_health, now));
        observations.suspicion = group_health
            .is_lost()
            .then(|| (epoch, now + SUSPICION_PERIOD));
    }

    /// Records that this node does not reach the instance, while others do. What waits for it is offered
    /// to other instances, but new requests are forwarded to it.
    pub(super) fn record_link_lost(&self, epoch: Epoch, now: Instant) {
        let mut observations = self.observations();
        observations.group_health = Some((epoch, GroupHealth::HeadLost, now));
        observations.suspicion = None;
    }

    /// Returns the result of a recent probe of the instance's group in an epoch.
    pub(super) fn group_health(&self, epoch: Epoch, now: Instant) -> Option<GroupHealth> {
        let (probed_epoch, group_health, at) = self.observations().group_health?;
        let is_fresh = now.duration_since(at) < MAX_GROUP_HEALTH_AGE;
        (probed_epoch == epoch && is_fresh).then_some(group_health)
    }

    /// Returns whether the instance's group was found lost in an epoch at `since` or later.
    pub(super) fn is_lost_since(&self, epoch: Epoch, since: Instant) -> bool {
        let group_health = self.observations().group_health;
        group_health
            .is_some_and(|(known, health, at)| known == epoch && health.is_lost() && at >= since)
    }

    /// Returns whether the instance is suspected of being silent in an epoch.
    pub(super) fn is_suspected(&self, epoch: Epoch, now: Instant) -> bool {
        let suspicion = self.observations().suspicion;
        suspicion.is_some_and(|(known, until)| known == epoch && now < until)
    }

    /// Records that the instance has refused a request.
    pub(super) fn record_refusal(&self, now: Instant) {
        self.observations().penalty_until = Some(now + REFUSAL_PENALTY);
    }

    /// Returns whether the instance has refused a request within [`REFUSAL_PENALTY`].
    pub(super) fn has_recent_refusal(&self, now: Instant) -> bool {
        self.observations()
            .penalty_until
            .is_some_and(|until| now < until)
    }

    /// Records whether a request has failed through the instance's fault.
    pub(super) fn record_outcome(&self, has_failed: bool) {
        let mut observations = self.observations();
        let outcome = if has_failed { 1.0 } else { 0.0 };
        observations.failure_rate += FAILURE_WEIGHT * (outcome - observations.failure_rate);
    }

    /// Clears the failures and the suspicion of the instance.
    pub(super) fn clear_failures(&self) {
        let mut observations = self.observations();
        observations.failure_rate = 0.0;
        observations.suspicion = None;
    }

    /// Returns the fraction of recent requests that failed through the instance's fault, as a
    /// moving average.
    pub(super) fn failure_rate(&self) -> Ratio {
        Ratio(self.observations().failure_rate)
    }

    fn observations(&self) -> MutexGuard<'_, Observations> {
        self.observations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
