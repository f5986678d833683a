//! [`Gateway`].

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use cuminlb_catalog::StoreTable;
use cuminlb_config::GatewaySettings;
use cuminlb_types::prelude::*;
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use crate::Edges;
use crate::knowledge::{Knowledge, PeerLinks};
use crate::leading::{Suspicions, current_leader};
use crate::metrics::{GatewayMetrics, RequestLabels};
use crate::serving::{LoadTracker, RetryBudgets};
use crate::upstream::ConnectionPool;

/// What the tasks of a node share.
#[derive(Debug)]
pub(crate) struct Gateway {
    /// The settings that the process started with: who it is and where it listens.
    pub(crate) settings: GatewaySettings,
    /// The settings as they are now.
    live: watch::Receiver<Arc<GatewaySettings>>,
    pub(crate) edges: Edges,
    pub(crate) knowledge: Knowledge,
    pub(crate) peers: PeerLinks,
    pub(crate) suspicions: Suspicions,
    pub(crate) loads: LoadTracker,
    pub(crate) budgets: RetryBudgets,
    pub(crate) pool: ConnectionPool,
    pub(crate) metrics: GatewayMetrics,
    /// Short tasks that nobody waits for before the end.
    pub(crate) background_tasks: TaskTracker,
    is_draining: AtomicBool,
    has_callers: AtomicBool,
}

impl Gateway {
    pub(crate) fn new(live: watch::Receiver<Arc<GatewaySettings>>, edges: Edges) -> Arc<Self> {
        let settings = GatewaySettings::clone(&live.borrow());
        let background_tasks = TaskTracker::new();
        let metrics = GatewayMetrics::default();
        Arc::new(Self {
            knowledge: Knowledge::new(Arc::clone(&edges.wire)),
            peers: PeerLinks::new(settings.id.clone(), settings.peer_token.clone()),
            suspicions: Suspicions::default(),
            loads: LoadTracker::default(),
            budgets: RetryBudgets::default(),
            pool: ConnectionPool::new(background_tasks.clone(), metrics.connections.clone()),
            metrics,
            background_tasks,
            is_draining: AtomicBool::new(false),
            has_callers: AtomicBool::new(false),
            settings,
            live,
            edges,
        })
    }

    /// Returns the settings as they are now.
    pub(crate) fn live_settings(&self) -> Arc<GatewaySettings> {
        Arc::clone(&self.live.borrow())
    }

    /// Notes a request for a service, which earns a part of a repeat.
    pub(crate) fn record_request(&self, service: &ServiceId) {
        let bounds = self.live_settings().bounds;
        self.budgets
            .record_request(service, &bounds, self.node_count());
    }

    /// Takes a repeat out of the budget of a service, or returns `false` when none is left.
    pub(crate) fn acquire_retry(&self, service: &ServiceId) -> bool {
        let bounds = self.live_settings().bounds;
        let is_left = self.budgets.acquire(service, &bounds, self.node_count());
        let counter = if is_left {
            &self.metrics.repeats
        } else {
            &self.metrics.repeats_denied
        };
        counter.inc();
        is_left
    }

    /// Counts a request that has got its answer.
    pub(crate) fn count_request(&self, route: &str, outcome: &str) {
        let labels = RequestLabels {
            route: route.to_owned(),
            outcome: outcome.to_owned(),
        };
        self.metrics.requests.get_or_create(&labels).inc();
    }

    /// Sets the gauges to what this node knows now.
    pub(crate) fn set_gauges(&self) {
        let leads = current_leader(&self.knowledge).as_ref() == Some(&self.settings.id);
        self.metrics.leads.set(i64::from(leads));
        let catalog = self.knowledge.catalog();
        let version = catalog.map_or(0, |catalog| catalog.version.get());
        self.metrics
            .catalog
            .set(i64::try_from(version).unwrap_or(i64::MAX));
        let directory = self.knowledge.directory();
        let groups = directory.groups.values().flatten();
        let serving = groups.filter(|group| group.is_serving()).count();
        self.metrics
            .groups
            .set(i64::try_from(serving).unwrap_or(i64::MAX));
    }

    /// Tells whether this node is about to stop.
    pub(crate) fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed)
    }

    pub(crate) fn start_draining(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
    }

    /// Tells whether a caller's request has come to this node.
    pub(crate) fn has_callers(&self) -> bool {
        self.has_callers.load(Ordering::Relaxed)
    }

    pub(crate) fn record_caller(&self) {
        self.has_callers.store(true, Ordering::Relaxed);
    }

    /// Tells whether this node takes callers.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_draining() && self.knowledge.catalog().is_some() && self.knows_nodes()
    }

    /// Tells whether this node knows with how many others it shares what instances bear.
    fn knows_nodes(&self) -> bool {
        self.knowledge.version(StoreTable::Nodes) > RowVersion(0)
    }

    /// Returns the number of nodes that share budgets with this one, itself included.
    pub(crate) fn node_count(&self) -> usize {
        self.knowledge.directory().nodes.len().max(1)
    }
}
