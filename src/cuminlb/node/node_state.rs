//! [`Node`].

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use cuminlb_config::NodeSettings;
use cuminlb_events::{DenialTally, EventLog};
use cuminlb_fleet::lease::HeldLease;
use cuminlb_fleet::standing::{StandingBounds, TableStatement};
use cuminlb_peer::{PeerStatement, ReleasedSlot, TableNotice};
use cuminlb_platform::{
    HttpInstanceList, HttpObjectStore, HttpTable, InstanceList, ObjectStore, Table,
};
use cuminlb_routing::{LoadEstimates, Quarantine, SlotHolder, SlotTerms};
use cuminlb_types::prelude::*;
use cuminlb_upstream::{EngineControl, HttpEngineControl, UpstreamClient};
use smol_str::format_smolstr;
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::Instant;

use super::{FleetView, OwnedGroups, Peers, SlotHoldings, TableKnowledge};
use crate::metrics::{MeteredInstances, MeteredObjects, MeteredTable, NodeMetrics};
use crate::observing::{FreshnessEvents, GroupEvents};

/// The number of events that a node keeps.
const EVENT_CAPACITY: usize = 8_192;

/// The longest time that one ask waits at an owner for a slot to come free.
pub const MAX_WAIT_AT_OWNER_MS: Millis = Millis(100);

/// The longest time by which the load in an engine's report lags behind.
const MAX_REPORT_LAG_MS: Millis = Millis(500);

/// The longest time that an engine goes on with a request whose connection was closed.
const MAX_CANCEL_MS: Millis = Millis(1_000);

/// The time from one renewal of the held slots to the next.
pub const SLOT_RENEWAL_PERIOD_MS: Millis = Millis(2_000);

/// The state that the tasks of one node share.
pub struct Node {
    /// The settings.
    pub settings: NodeSettings,
    /// Tells this start of the node from earlier ones.
    pub incarnation: Incarnation,
    /// The events of this node.
    pub events: EventLog,
    /// The platform's table.
    pub table: Table,
    /// The platform's object store.
    pub objects: Arc<dyn ObjectStore>,
    /// The platform's instance list.
    pub instances: Arc<dyn InstanceList>,
    /// Orders to engines.
    pub engines: Arc<dyn EngineControl>,
    /// Requests to upstreams.
    pub upstreams: UpstreamClient,
    /// What this node knows of the fleet.
    pub view: watch::Sender<FleetView>,
    /// What this node knows of the table, and whether it may act on it.
    pub knowledge: TableKnowledge,
    /// The links to the other nodes.
    pub peers: Peers,
    /// The groups that this node owns.
    pub owned: OwnedGroups,
    /// The requests that are suspected of crashing what runs them.
    pub quarantine: Quarantine,
    /// Told when the table should be read at once.
    pub poll_now: Notify,
    /// The load of the groups as their owners told it.
    pub loads: LoadEstimates,
    /// The asks for slots of this node.
    pub holdings: SlotHoldings,
    /// Takes the slots to give back, with the owner that was asked for each.
    pub releases: mpsc::UnboundedSender<(NodeId, ReleasedSlot)>,
    /// The metrics of this node.
    pub metrics: NodeMetrics,
    /// Gathers slot denials for the time line.
    pub denials: DenialTally,
    /// What was last recorded about the owned groups.
    pub group_events: GroupEvents,
    /// What was last recorded about the node's standing.
    pub freshness_events: FreshnessEvents,
    draining: AtomicBool,
    last_request: AtomicU64,
}

impl Node {
    /// Creates the state of a node that talks to the platform and the upstreams over HTTP, and
    /// the receiver of the slots to give back.
    pub fn new(settings: NodeSettings) -> (Self, mpsc::UnboundedReceiver<(NodeId, ReleasedSlot)>) {
        let platform = &settings.platform;
        let timeout_ms = platform.timeout_ms;
        let control = &settings.control;
        let (releases, released) = mpsc::unbounded_channel();
        let events = EventLog::new(settings.id.clone(), settings.zone.clone(), EVENT_CAPACITY);
        let metrics = NodeMetrics::new(&events);
        let table = HttpTable::new(platform.table, timeout_ms);
        let objects = HttpObjectStore::new(platform.objects, timeout_ms);
        let instances = HttpInstanceList::new(platform.instances, timeout_ms);
        let node = Self {
            incarnation: Incarnation(UnixMillis::now().get()),
            events,
            table: Table::new(Arc::new(MeteredTable::new(table, metrics.platform.clone()))),
            objects: Arc::new(MeteredObjects::new(objects, metrics.platform.clone())),
            instances: Arc::new(MeteredInstances::new(instances, metrics.platform.clone())),
            engines: Arc::new(HttpEngineControl::new(control.proof_max_age_ms)),
            upstreams: UpstreamClient::new(control.peer_timeout_ms, settings.limits.stream_idle_ms),
            view: watch::Sender::new(FleetView::default()),
            knowledge: TableKnowledge::new(
                settings.id.clone(),
                StandingBounds::new(control.knowledge_max_age_ms),
            ),
            peers: Peers::default(),
            owned: OwnedGroups::new(slot_terms(&settings)),
            loads: LoadEstimates::default(),
            holdings: SlotHoldings::default(),
            quarantine: Quarantine::default(),
            poll_now: Notify::new(),
            releases,
            metrics,
            denials: DenialTally::default(),
            group_events: GroupEvents::default(),
            freshness_events: FreshnessEvents::default(),
            draining: AtomicBool::new(false),
            last_request: AtomicU64::new(0),
            settings,
        };
        (node, released)
    }

    /// Returns the id of this node.
    pub const fn id(&self) -> &NodeId {
        &self.settings.id
    }

    /// Returns the name under which this start of the node holds slots.
    pub fn slot_holder(&self) -> SlotHolder {
        SlotHolder {
            node: self.id().clone(),
            incarnation: self.incarnation,
        }
    }

    /// Returns the longest time from an ask for a slot until the request may be sent.
    pub fn slot_use_ms(&self) -> Millis {
        slot_use_ms(&self.settings)
    }

    /// Returns a snapshot of what this node knows of the fleet.
    pub fn view(&self) -> FleetView {
        self.view.borrow().clone()
    }

    /// Takes no new requests any more.
    pub fn start_draining(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Tells whether this node takes no new requests any more.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Tells whether this node may act on the configuration that it has.
    pub fn is_config_confirmed(&self) -> bool {
        self.knowledge.is_confirmed()
    }

    /// Tells whether the holder of a lease may act: while the lease runs, and past that in an
    /// outage of the platform.
    pub fn is_lease_valid(&self, lease: &HeldLease) -> bool {
        self.knowledge.is_lease_valid(lease)
    }

    /// Returns the ids of the nodes that the platform listed last.
    pub fn listed_nodes(&self) -> Vec<NodeId> {
        let view = self.view.borrow();
        view.nodes().iter().map(|(id, _)| id).collect()
    }

    /// Tells whether the balancer should send requests here.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.is_config_confirmed() && self.view.borrow().config.is_some()
    }

    /// Returns a new request id, unique over all nodes and starts.
    ///
    /// # Panics
    ///
    /// Never: ids of nodes and numbers form valid ids.
    #[expect(clippy::expect_used, reason = "a node id and numbers form a valid id")]
    pub fn new_request_id(&self) -> RequestId {
        let number = self.last_request.fetch_add(1, Ordering::Relaxed);
        let id = format_smolstr!(
            "{:.64}-{:x}-{number:x}",
            self.id().as_str(),
            self.incarnation.get()
        );
        id.try_into()
            .expect("a node id and numbers form a valid id")
    }

    /// Returns what this node says of itself to a peer.
    pub fn statement(&self) -> PeerStatement {
        let said = self.knowledge.statement();
        PeerStatement {
            node: self.id().clone(),
            incarnation: self.incarnation,
            time: self.events.clock().tick(),
            config: self.view.borrow().config_version(),
            newest_config: said.newest_config,
            table_age_ms: said.table_age_ms,
            is_silent: said.is_silent,
            suspects: self.quarantine.newest(),
        }
    }

    /// Takes in what a peer says of itself when it calls; the call may have been under way for
    /// any time, so it says nothing about the present.
    pub fn take_statement(&self, statement: &PeerStatement) {
        self.events.clock().observe(statement.time);
        self.quarantine.merge(&statement.suspects);
        self.knowledge.note_newest(statement.newest_config);
        self.poll_if_newer(statement.newest_config);
    }

    /// Takes in the answer of a peer to a call that was sent at `sent_at`.
    pub fn take_answer(&self, peer: &NodeId, sent_at: Instant, statement: &PeerStatement) {
        self.events.clock().observe(statement.time);
        if statement.node != *peer {
            return;
        }
        self.quarantine.merge(&statement.suspects);
        let said = TableStatement {
            table_age_ms: statement.table_age_ms,
            is_silent: statement.is_silent,
            newest_config: statement.newest_config,
        };
        let config = self.view.borrow().config_version();
        self.knowledge
            .note_answer(peer.clone(), sent_at, said, config);
        self.poll_if_newer(statement.newest_config);
    }

    /// Takes in that a peer hears the table.
    pub fn take_notice(&self, notice: &TableNotice) {
        self.knowledge
            .note_notice(notice.read_age_ms, notice.newest_config);
        self.poll_if_newer(notice.newest_config);
    }

    fn poll_if_newer(&self, config: ConfigVersion) {
        if config > self.view.borrow().config_version() {
            self.poll_now.notify_one();
        }
    }
}

fn slot_use_ms(settings: &NodeSettings) -> Millis {
    settings.control.peer_timeout_ms + MAX_WAIT_AT_OWNER_MS
}

fn slot_terms(settings: &NodeSettings) -> SlotTerms {
    let connect_timeout_ms = settings.control.peer_timeout_ms;
    SlotTerms {
        max_send_ms: slot_use_ms(settings) + connect_timeout_ms,
        max_report_lag_ms: MAX_REPORT_LAG_MS,
        holder_timeout_ms: SLOT_RENEWAL_PERIOD_MS * 3,
        max_cancel_ms: MAX_CANCEL_MS,
        max_request_ms: settings.limits.request_timeout_ms,
    }
}
