//! The state of one node, and how status reports of its peers change it.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use cuminlb_config::NodeSettings;
use cuminlb_events::{DenialAggregator, EventLog};
use cuminlb_fleet::freshness::{FreshnessBounds, TableReport};
use cuminlb_fleet::lease::HeldLease;
use cuminlb_peer::{PeerStatus, ReleasedSlot, TableNotice};
use cuminlb_platform::{
    HttpInstanceList, HttpObjectStore, HttpTableService, InstanceList, ObjectStore, TableClient,
};
use cuminlb_routing::{LoadEstimates, Quarantine, SlotHolder, SlotTiming};
use cuminlb_types::prelude::*;
use cuminlb_upstream::{EngineControl, HttpEngineControl, UpstreamClient};
use smol_str::format_smolstr;
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::Instant;

use super::{FleetView, OwnedGroups, Peers, SlotRequests, TableFreshness};
use crate::metrics::{MeteredInstances, MeteredObjects, MeteredTable, NodeMetrics};
use crate::observing::{FreshnessEvents, GroupEvents};

/// The number of events that a node keeps in memory.
const EVENT_CAPACITY: usize = 8_192;

/// The longest time that a slot request waits at an owner for a slot to be released.
pub const MAX_WAIT_AT_OWNER_MS: Millis = Millis(100);

/// The longest time by which the load in an engine's report may be out of date.
const MAX_REPORT_LAG_MS: Millis = Millis(500);

/// The longest time for which an engine still runs a request whose connection was closed.
const MAX_CANCEL_MS: Millis = Millis(1_000);

/// The period between renewals of the held slots.
pub const SLOT_RENEWAL_PERIOD_MS: Millis = Millis(2_000);

/// The state that the tasks of one node share.
pub struct Node {
    /// The settings.
    pub settings: NodeSettings,
    /// Distinguishes this run of the node process from earlier ones.
    pub incarnation: Incarnation,
    /// The events of this node.
    pub events: EventLog,
    /// The platform's table.
    pub table: TableClient,
    /// The platform's object store.
    pub objects: Arc<dyn ObjectStore>,
    /// The platform's instance list.
    pub instances: Arc<dyn InstanceList>,
    /// Sends orders to engines and requests their reports.
    pub engines: Arc<dyn EngineControl>,
    /// Sends requests to upstreams.
    pub upstreams: UpstreamClient,
    /// What this node knows of the fleet.
    pub view: watch::Sender<FleetView>,
    /// How fresh this node's knowledge of the table is, and whether it may act on it.
    pub freshness: TableFreshness,
    /// The links to the other nodes.
    pub peers: Peers,
    /// The groups that this node owns.
    pub owned: OwnedGroups,
    /// The requests that are suspected of crashing the upstream that runs them.
    pub quarantine: Quarantine,
    /// Notified when the table should be read immediately.
    pub poll_now: Notify,
    /// The load of the groups as reported by their owners.
    pub loads: LoadEstimates,
    /// The slot requests of this node.
    pub slot_requests: SlotRequests,
    /// Queues the slots to release, each with the owner that it was requested from.
    pub slot_releases: mpsc::UnboundedSender<(NodeId, ReleasedSlot)>,
    /// The metrics of this node.
    pub metrics: NodeMetrics,
    /// Aggregates slot denials for the timeline.
    pub denials: DenialAggregator,
    /// What was last recorded about the owned groups.
    pub group_events: GroupEvents,
    /// What was last recorded about the freshness of the node.
    pub freshness_events: FreshnessEvents,
    draining: AtomicBool,
    next_request_number: AtomicU64,
}

impl Node {
    /// Creates the state of a node that calls the platform and the upstreams over HTTP, and the
    /// receiver of the slots to release.
    pub fn new(settings: NodeSettings) -> (Self, mpsc::UnboundedReceiver<(NodeId, ReleasedSlot)>) {
        let platform = &settings.platform;
        let timeout_ms = platform.timeout_ms;
        let control = &settings.control;
        let (slot_releases, release_receiver) = mpsc::unbounded_channel();
        let events = EventLog::new(settings.id.clone(), settings.zone.clone(), EVENT_CAPACITY);
        let metrics = NodeMetrics::new(&events);
        let table = HttpTableService::new(platform.table, timeout_ms);
        let objects = HttpObjectStore::new(platform.objects, timeout_ms);
        let instances = HttpInstanceList::new(platform.instances, timeout_ms);
        let node = Self {
            incarnation: Incarnation(UnixMillis::now().get()),
            events,
            table: TableClient::new(Arc::new(MeteredTable::new(table, metrics.platform.clone()))),
            objects: Arc::new(MeteredObjects::new(objects, metrics.platform.clone())),
            instances: Arc::new(MeteredInstances::new(instances, metrics.platform.clone())),
            engines: Arc::new(HttpEngineControl::new(control.proof_max_age_ms)),
            upstreams: UpstreamClient::new(control.peer_timeout_ms, settings.limits.stream_idle_ms),
            view: watch::Sender::new(FleetView::default()),
            freshness: TableFreshness::new(
                settings.id.clone(),
                FreshnessBounds::new(control.knowledge_max_age_ms),
            ),
            peers: Peers::default(),
            owned: OwnedGroups::new(slot_timing(&settings)),
            loads: LoadEstimates::default(),
            slot_requests: SlotRequests::default(),
            quarantine: Quarantine::default(),
            poll_now: Notify::new(),
            slot_releases,
            metrics,
            denials: DenialAggregator::default(),
            group_events: GroupEvents::default(),
            freshness_events: FreshnessEvents::default(),
            draining: AtomicBool::new(false),
            next_request_number: AtomicU64::new(0),
            settings,
        };
        (node, release_receiver)
    }

    /// Returns the id of this node.
    pub const fn id(&self) -> &NodeId {
        &self.settings.id
    }

    /// Returns the identity under which this incarnation of the node holds slots.
    pub fn slot_holder(&self) -> SlotHolder {
        SlotHolder {
            node: self.id().clone(),
            incarnation: self.incarnation,
        }
    }

    /// Returns the longest time from a slot request until the caller's request may be sent on.
    pub fn slot_use_ms(&self) -> Millis {
        slot_use_ms(&self.settings)
    }

    /// Returns a snapshot of what this node knows of the fleet.
    pub fn view(&self) -> FleetView {
        self.view.borrow().clone()
    }

    /// Stops accepting new requests.
    pub fn start_draining(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Returns whether this node has stopped accepting new requests.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Returns whether this node may act on the configuration in effect.
    pub fn is_config_confirmed(&self) -> bool {
        self.freshness.is_confirmed()
    }

    /// Returns whether the holder of a lease may act: until the lease expires, and beyond that
    /// during an outage of the platform.
    pub fn is_lease_valid(&self, lease: &HeldLease) -> bool {
        self.freshness.is_lease_valid(lease)
    }

    /// Returns the ids of the live nodes in the platform's current list.
    pub fn listed_nodes(&self) -> Vec<NodeId> {
        let view = self.view.borrow();
        view.nodes().iter().map(|(id, _)| id).collect()
    }

    /// Returns whether the load balancer in front of the nodes should send requests here.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.is_config_confirmed() && self.view.borrow().config.is_some()
    }

    /// Returns a new request id, unique across all nodes and their incarnations.
    ///
    /// # Panics
    ///
    /// Never: ids of nodes and numbers form valid ids.
    #[expect(clippy::expect_used, reason = "a node id and numbers form a valid id")]
    pub fn new_request_id(&self) -> RequestId {
        let number = self.next_request_number.fetch_add(1, Ordering::Relaxed);
        let id = format_smolstr!(
            "{:.64}-{:x}-{number:x}",
            self.id().as_str(),
            self.incarnation.get()
        );
        id.try_into()
            .expect("a node id and numbers form a valid id")
    }

    /// Returns the status that this node reports to its peers.
    pub fn peer_status(&self) -> PeerStatus {
        let report = self.freshness.table_report();
        PeerStatus {
            node: self.id().clone(),
            incarnation: self.incarnation,
            time: self.events.clock().tick(),
            config: self.view.borrow().config_version(),
            newest_config: report.newest_config,
            table_age_ms: report.table_age_ms,
            is_silent: report.is_silent,
            suspects: self.quarantine.newest(),
        }
    }

    /// Handles the status that a peer sent with a call.
    ///
    /// The call may have been in flight for any length of time, so it does not show the current
    /// state of the peer and is not recorded as a report on the table.
    pub fn handle_status(&self, peer_status: &PeerStatus) {
        self.events.clock().observe(peer_status.time);
        self.quarantine.merge(&peer_status.suspects);
        self.freshness
            .record_newest_config(peer_status.newest_config);
        self.poll_if_newer(peer_status.newest_config);
    }

    /// Handles a peer's response to a call that was sent at `sent_at`. A response from another node
    /// than `peer` changes nothing but the clock.
    pub fn handle_status_response(
        &self,
        peer: &NodeId,
        sent_at: Instant,
        peer_status: &PeerStatus,
    ) {
        self.events.clock().observe(peer_status.time);
        if peer_status.node != *peer {
            return;
        }
        self.quarantine.merge(&peer_status.suspects);
        let report = TableReport {
            table_age_ms: peer_status.table_age_ms,
            is_silent: peer_status.is_silent,
            newest_config: peer_status.newest_config,
        };
        let config = self.view.borrow().config_version();
        self.freshness
            .record_report(peer.clone(), sent_at, report, config);
        self.poll_if_newer(peer_status.newest_config);
    }

    /// Handles the notice of a peer that it has read the table.
    pub fn handle_table_notice(&self, notice: &TableNotice) {
        self.freshness
            .record_notice(notice.read_age_ms, notice.newest_config);
        self.poll_if_newer(notice.newest_config);
    }

    /// Requests an immediate read of the table if `config` is newer than the one in effect here.
    fn poll_if_newer(&self, config: ConfigVersion) {
        if config > self.view.borrow().config_version() {
            self.poll_now.notify_one();
        }
    }
}

fn slot_use_ms(settings: &NodeSettings) -> Millis {
    settings.control.peer_timeout_ms + MAX_WAIT_AT_OWNER_MS
}

fn slot_timing(settings: &NodeSettings) -> SlotTiming {
    let connect_timeout_ms = settings.control.peer_timeout_ms;
    SlotTiming {
        max_send_ms: slot_use_ms(settings) + connect_timeout_ms,
        max_report_lag_ms: MAX_REPORT_LAG_MS,
        holder_timeout_ms: SLOT_RENEWAL_PERIOD_MS * 3,
        max_cancel_ms: MAX_CANCEL_MS,
        max_request_ms: settings.limits.request_timeout_ms,
    }
}
