//! The state that the tasks of a node share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use cuminlb_catalog::{CallerBounds, StoreTable};
use cuminlb_config::GatewaySettings;
use cuminlb_replica::{FollowTiming, Follower, Replica, RowSink};
use cuminlb_routing::{
    BudgetUse, CrashBoard, ForwarderBoard, LinkBoard, LoadBoard, LostHeads, RetryBounds, RetryTimes,
};
use cuminlb_types::prelude::*;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;
use tokio_util::task::TaskTracker;

use crate::Edges;
use crate::body_budgets::BodyBudgets;
use crate::drain::Drain;
use crate::knowledge::{Knowledge, NodePeers, PeerLinks};
use crate::leading::Suspicions;
use crate::links::Judgements;
use crate::metrics::{GatewayMetrics, RequestLabels};
use crate::serving::{GroupChecks, InstanceChecks, LoadTracker, RetryBudgets};
use crate::upstream::ConnectionPool;

/// The state that the tasks of a node share.
#[derive(Debug)]
pub(crate) struct Gateway {
    /// The settings that the process started with; its identity and addresses never change.
    pub(crate) settings: GatewaySettings,
    /// The current settings.
    live: watch::Receiver<Arc<GatewaySettings>>,
    pub(crate) edges: Edges,
    pub(crate) knowledge: Arc<Knowledge>,
    pub(crate) replica: Arc<Replica>,
    pub(crate) follower: Follower,
    pub(crate) peers: Arc<PeerLinks>,
    pub(crate) suspicions: Suspicions,
    pub(crate) group_checks: GroupChecks,
    /// The group heads that this node or a relay has found lost.
    pub(crate) lost_heads: LostHeads,
    /// Is notified when this node has found a head lost.
    pub(crate) loss_found: Notify,
    pub(crate) instance_checks: InstanceChecks,
    pub(crate) loads: LoadTracker,
    /// Until when instances want no requests.
    pub(crate) retry_times: RetryTimes,
    /// The load of the other nodes.
    pub(crate) load_board: LoadBoard,
    /// The crashes of instances that all nodes have seen.
    pub(crate) crash_board: CrashBoard,
    pub(crate) budgets: RetryBudgets,
    /// The connections to instances.
    pub(crate) pool: ConnectionPool,
    /// The connections to the nodes that forward requests of this one.
    pub(crate) forwarders: ConnectionPool,
    /// What this node knows of its own links to instances.
    pub(crate) links: LinkBoard,
    /// Which nodes can forward requests of this one.
    pub(crate) forwarder_board: ForwarderBoard,
    /// The judgements about instances that this node does not reach.
    pub(crate) judgements: Judgements,
    /// What the requests of other nodes that this one forwards may hold.
    pub(crate) body_budgets: BodyBudgets,
    pub(crate) metrics: GatewayMetrics,
    /// Short background tasks, which are not awaited before the node stops.
    pub(crate) background_tasks: TaskTracker,
    /// The planned stop of this node.
    pub(crate) drain: Drain,
    has_callers: AtomicBool,
    /// When this process started.
    pub(crate) started_at: Instant,
}

impl Gateway {
    pub(crate) fn new(live: watch::Receiver<Arc<GatewaySettings>>, edges: Edges) -> Arc<Self> {
        let settings = GatewaySettings::clone(&live.borrow());
        let body_budgets = BodyBudgets::new(settings.bounds.memory_mb);
        let background_tasks = TaskTracker::new();
        let metrics = GatewayMetrics::default();
        let knowledge = Arc::new(Knowledge::new(Arc::clone(&edges.wire), metrics.clone()));
        let replica = Arc::new(Replica::new(Arc::clone(&knowledge) as Arc<dyn RowSink>));
        let peers = PeerLinks::new(settings.id.clone(), settings.peer_token.clone().into_text());
        let peers = Arc::new(peers);
        let pool = ConnectionPool::new(
            background_tasks.clone(),
            metrics.connections.clone(),
            metrics.connections_refused.clone(),
        );
        let forwarders = ConnectionPool::new(
            background_tasks.clone(),
            metrics.forwarder_connections.clone(),
            metrics.forwarder_connections_refused.clone(),
        );
        let node_peers = NodePeers {
            own_id: settings.id.clone(),
            zone: settings.zone.clone(),
            knowledge: Arc::clone(&knowledge),
            links: Arc::clone(&peers),
        };
        let follower = Follower::new(
            Arc::clone(&replica),
            Arc::clone(&edges.store),
            Arc::new(node_peers),
            FollowTiming::new(settings.bounds.propagation_ms),
        );
        Arc::new(Self {
            knowledge,
            replica,
            follower,
            peers: Arc::clone(&peers),
            suspicions: Suspicions::default(),
            group_checks: GroupChecks::default(),
            lost_heads: LostHeads::default(),
            loss_found: Notify::new(),
            instance_checks: InstanceChecks::default(),
            loads: LoadTracker::new(body_budgets.clone()),
            retry_times: RetryTimes::default(),
            load_board: LoadBoard::default(),
            crash_board: CrashBoard::default(),
            budgets: RetryBudgets::default(),
            pool,
            forwarders: forwarders.with_token(peers.token()),
            links: LinkBoard::default(),
            forwarder_board: ForwarderBoard::default(),
            judgements: Judgements::default(),
            body_budgets,
            metrics,
            background_tasks,
            drain: Drain::new(live.clone()),
            has_callers: AtomicBool::new(false),
            started_at: Instant::now(),
            settings,
            live,
            edges,
        })
    }

    /// Returns the current settings.
    pub(crate) fn live_settings(&self) -> Arc<GatewaySettings> {
        Arc::clone(&self.live.borrow())
    }

    /// Records a request for a service, which earns a fraction of a retry.
    pub(crate) fn record_request(&self, service: &ServiceId) {
        self.budgets.record_request(service, &self.retry_bounds());
    }

    /// Withdraws a retry from the budget of a service, counts it, and returns how much of the budget was
    /// used before; returns `None` if no retry is left.
    pub(crate) fn acquire_retry(&self, service: &ServiceId) -> Option<BudgetUse> {
        self.update_retry_share();
        let granted = self.budgets.acquire(service, &self.retry_bounds());
        let counter = if granted.is_some() {
            &self.metrics.retries
        } else {
            &self.metrics.retries_denied
        };
        counter.inc();
        granted
    }

    /// Updates this node's share of the retry budgets to the nodes that it knows.
    pub(crate) fn update_retry_share(&self) {
        let has_read = self.has_node_rows();
        let nodes = if has_read { self.node_count() } else { 0 };
        self.budgets.record_nodes(nodes, &self.retry_bounds());
    }

    /// Returns the limit on the retries of all nodes, by the current settings.
    fn retry_bounds(&self) -> RetryBounds {
        let bounds = self.live_settings().bounds;
        RetryBounds {
            ratio: bounds.retry_ratio,
            extra: bounds.retry_extra,
            window_ms: bounds.retry_window_ms,
        }
    }

    /// Counts a request that has received its response.
    pub(crate) fn count_request(&self, route: &str, outcome: &str) {
        let labels = RequestLabels {
            route: route.to_owned(),
            outcome: outcome.to_owned(),
        };
        self.metrics.requests.get_or_create(&labels).inc();
    }

    /// Updates the gauges to the current state of this node.
    pub(crate) fn update_gauges(&self) {
        let is_leader = self.knowledge.leader().as_ref() == Some(&self.settings.id);
        self.metrics.is_leader.set(i64::from(is_leader));
        let catalog = self.knowledge.catalog();
        let version = catalog.map_or(0, |catalog| catalog.version.get());
        self.metrics
            .catalog
            .set(i64::try_from(version).unwrap_or(i64::MAX));
        let eras = StoreTable::ALL.map(|table| self.replica.version(table).era);
        let era = eras.into_iter().max().unwrap_or_default();
        self.metrics
            .store_era
            .set(i64::try_from(era.get()).unwrap_or(i64::MAX));
        let quarantined = self.crash_board.quarantined().len();
        self.metrics
            .quarantined_causes
            .set(i64::try_from(quarantined).unwrap_or(i64::MAX));
        self.metrics
            .links_lost
            .set(i64::from(self.links.lost_since().is_some()));
        let unreached = i64::try_from(self.links.outage_count());
        self.metrics.unreached.set(unreached.unwrap_or(i64::MAX));
        let usage = self.budgets.usage(&self.retry_bounds());
        let nodes = self.budgets.nodes();
        self.metrics.retry_budget.update(&usage, nodes);
        let limited = i64::try_from(self.loads.limited_count());
        self.metrics.limited.set(limited.unwrap_or(i64::MAX));
        self.update_slot_gauges();
        let directory = self.knowledge.directory();
        let groups = directory.groups.values().flatten();
        let serving = groups.filter(|group| group.is_serving()).count();
        self.metrics
            .groups
            .set(i64::try_from(serving).unwrap_or(i64::MAX));
    }

    /// Returns the limits of the newest catalog on callers, or the usual ones before there is one.
    pub(crate) fn caller_bounds(&self) -> CallerBounds {
        let catalog = self.knowledge.catalog();
        catalog.map(|catalog| catalog.bounds).unwrap_or_default()
    }

    /// Returns whether this node is about to stop.
    pub(crate) fn is_draining(&self) -> bool {
        self.drain.has_started()
    }

    /// Returns whether this node has received a request from a caller.
    pub(crate) fn has_callers(&self) -> bool {
        self.has_callers.load(Ordering::Relaxed)
    }

    pub(crate) fn record_caller(&self) {
        self.has_callers.store(true, Ordering::Relaxed);
    }

    /// Returns whether this node accepts callers.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_draining() && self.knowledge.catalog().is_some() && self.has_node_rows()
    }

    /// Returns whether this node knows how many nodes share the capacity of the instances.
    fn has_node_rows(&self) -> bool {
        self.replica.version(StoreTable::Nodes) > StoreVersion::default()
    }

    /// Returns the number of nodes that share budgets with this one, including itself.
    pub(crate) fn node_count(&self) -> usize {
        self.knowledge.directory().nodes.len().max(1)
    }
}
