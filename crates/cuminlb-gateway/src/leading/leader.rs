//! The leader: plans groups, sends orders to instances and probes them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cuminlb_assembly::{Assembler, AssemblyView, InstanceOrder};
use cuminlb_catalog::{InstanceEntry, UpstreamService};
use cuminlb_routing::{LeadFitness, LinkRoute};
use cuminlb_types::prelude::*;
use log::info;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, interval, sleep_until};
use tokio_util::sync::CancellationToken;

use super::active_lease::ActiveLease;
use super::order_report::OrderReport;
use super::probe_instance::probe_instance;
use super::probe_report::ProbeReport;
use super::probe_result::ProbeResult;
use crate::gateway::Gateway;
use crate::knowledge::Directory;

/// Planning interval when there is no event.
const PLAN_PERIOD: Duration = Duration::from_millis(200);

/// Rest after planning, as a multiple of the time that it took. Events come faster than a plan over
/// a large fleet can follow, and the leader serves callers too.
const REST_FACTOR: u32 = 4;

/// Time after which an order counts as unanswered.
const ORDER_TIMEOUT_MS: Millis = Millis(800);

/// Number of failed probes after which an instance counts as lost.
const MAX_PROBE_FAILURES: u32 = 2;

/// Number of failed probes of a member that another node has already found unhealthy.
const MAX_CONFIRMING_PROBE_FAILURES: u32 = 1;

/// Minimum interval between two probes of an instance.
const PROBE_PERIOD: Duration = Duration::from_millis(250);

/// Minimum interval between two probes of a silent or unlisted instance.
const DOUBTED_PROBE_PERIOD: Duration = Duration::from_millis(800);

/// Time beyond the configured stall timeout after which a head that has lost its members has
/// certainly timed out.
const STALL_TIMEOUT_SLACK: Duration = Duration::from_millis(1_000);

/// Sends the orders while this node leads.
pub(super) struct Leader {
    gateway: Arc<Gateway>,
    base_epoch: Epoch,
    assemblers: BTreeMap<ServiceId, Assembler>,
    orders: JoinSet<OrderReport>,
    probes: JoinSet<ProbeReport>,
    /// When each instance was last probed.
    probed_at: BTreeMap<InstanceId, Instant>,
    next_plan_at: Instant,
}

impl Leader {
    /// Prepares to lead with epochs above `base_epoch`.
    pub(super) fn new(gateway: Arc<Gateway>, base_epoch: Epoch) -> Self {
        Self {
            gateway,
            base_epoch,
            assemblers: BTreeMap::new(),
            orders: JoinSet::new(),
            probes: JoinSet::new(),
            probed_at: BTreeMap::new(),
            next_plan_at: Instant::now(),
        }
    }

    /// Leads until the lease is lost or `stop` is cancelled.
    pub(super) async fn run(
        &mut self,
        lease: &mut watch::Receiver<Option<ActiveLease>>,
        stop: &CancellationToken,
    ) {
        let gateway = Arc::clone(&self.gateway);
        let mut changes = gateway.knowledge.directory_changes();
        let mut plan_timer = interval(PLAN_PERIOD);
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                changed = lease.changed() => if changed.is_err() { return },
                _ = plan_timer.tick() => {}
                changed = changes.changed() => if changed.is_err() { return },
                () = gateway.suspicions.wait() => {}
                Some(Ok(report)) = self.orders.join_next() => self.handle_order_report(&report),
                Some(Ok(report)) = self.probes.join_next() => self.handle_probe_report(&report),
            }
            let now = Instant::now();
            if now < self.next_plan_at {
                sleep_until(self.next_plan_at).await;
            }
            self.handle_finished();
            let now = Instant::now();
            match *lease.borrow() {
                None => return,
                Some(held) if held.is_valid(now) && self.may_plan() => self.plan(now),
                Some(_) => {}
            }
            self.next_plan_at = Instant::now() + now.elapsed() * REST_FACTOR;
        }
    }

    /// Handles all orders and probes that have finished.
    fn handle_finished(&mut self) {
        while let Some(Ok(report)) = self.orders.try_join_next() {
            self.handle_order_report(&report);
        }
        while let Some(Ok(report)) = self.probes.try_join_next() {
            self.handle_probe_report(&report);
        }
    }

    /// Returns whether this node sees enough of the instances to plan groups.
    fn may_plan(&self) -> bool {
        self.gateway.links.lead_fitness() != LeadFitness::Unfit
    }

    fn plan(&mut self, now: Instant) {
        let gateway = Arc::clone(&self.gateway);
        let directory = gateway.knowledge.directory();
        let Some(catalog) = gateway.knowledge.catalog() else {
            return;
        };
        self.probe_suspected(&directory, now);
        let is_listed = |id: &InstanceId| directory.find_instance(id).is_some();
        self.probed_at.retain(|id, _| is_listed(id));
        for service in catalog.engine_services() {
            self.probe_doubted(&directory, service, now);
            let orders = self.with_assembler(&directory, service, |assembler, view| {
                assembler.plan_orders(view, now)
            });
            for order in orders.into_iter().flatten() {
                self.send_order(&directory, order);
            }
        }
    }

    /// Runs an operation on the assembler of a service with the current view of the service.
    fn with_assembler<T>(
        &mut self,
        directory: &Directory,
        service: &UpstreamService,
        operation: impl FnOnce(&mut Assembler, &AssemblyView<'_>) -> T,
    ) -> Option<T> {
        let no_instances = BTreeMap::new();
        let settings = self.gateway.live_settings();
        let stall_timeout = settings.bounds.stall_ms.duration() + STALL_TIMEOUT_SLACK;
        let base_epoch = self.base_epoch;
        let assembler = self
            .assemblers
            .entry(service.id.clone())
            .or_insert_with(|| Assembler::new(base_epoch, stall_timeout, Instant::now()));
        let view = AssemblyView {
            engine: service.engine.as_ref()?,
            spares: settings.load.spares,
            instances: directory.services.get(&service.id).unwrap_or(&no_instances),
            groups: directory
                .groups
                .get(&service.id)
                .map_or(&[][..], Vec::as_slice),
            unlisted: &directory.unlisted,
            zones_out: &directory.zones_out,
            is_busy: self.gateway.has_callers(),
        };
        Some(operation(assembler, &view))
    }

    fn send_order(&mut self, directory: &Directory, order: InstanceOrder) {
        let InstanceOrder { instance, order } = order;
        let Some(entry) = directory.find_instance(&instance) else {
            return;
        };
        self.gateway.metrics.orders.inc();
        let service = entry.service.clone();
        let (address, incarnation) = (entry.address, entry.incarnation);
        let gateway = Arc::clone(&self.gateway);
        self.orders.spawn(async move {
            if gateway.links.route(&instance) != LinkRoute::Direct {
                return OrderReport::unreachable(service, instance, order);
            }
            let control = &gateway.edges.instances;
            let response = control
                .order(address, &instance, &order, ORDER_TIMEOUT_MS)
                .await;
            if response.is_leaving {
                gateway.knowledge.record_leaving(&instance, incarnation);
            }
            OrderReport {
                service,
                instance,
                order,
                response,
            }
        });
    }

    fn handle_order_report(&mut self, report: &OrderReport) {
        info!(
            instance:% = report.instance, order = report.order.name(), details:? = report.order,
            outcome:? = report.response.outcome;
            "order given"
        );
        let now = Instant::now();
        let Some(assembler) = self.assemblers.get_mut(&report.service) else {
            return;
        };
        let outcome = report.response.outcome;
        if assembler.record_outcome(&report.instance, &report.order, outcome, now) {
            let directory = self.gateway.knowledge.directory();
            if let Some(entry) = directory.find_instance(&report.instance) {
                self.probe(entry, PROBE_PERIOD, MAX_PROBE_FAILURES, now);
            }
        }
    }

    /// Probes the members of groups that other nodes have found unhealthy.
    fn probe_suspected(&mut self, directory: &Directory, now: Instant) {
        for notice in self.gateway.suspicions.take_all() {
            info!(
                node:% = notice.node, instance:% = notice.head, group:% = notice.group,
                epoch:% = notice.epoch, silent_ms = notice.silent_ms.get();
                "head reported silent"
            );
            let mut groups = directory.groups.values().flatten();
            let matches_notice = |group: &&cuminlb_assembly::GroupView| {
                group.epoch == notice.epoch && group.group == notice.group
            };
            let Some(group) = groups.find(matches_notice) else {
                continue;
            };
            for member in group.present() {
                if let Some(entry) = directory.find_instance(member) {
                    self.probe(entry, PROBE_PERIOD, MAX_CONFIRMING_PROBE_FAILURES, now);
                }
            }
        }
    }

    /// Probes silent and slow instances again, and group members whose entries have vanished.
    fn probe_doubted(&mut self, directory: &Directory, service: &UpstreamService, now: Instant) {
        let assembler = self.assemblers.get(&service.id);
        let is_known_unhealthy = |id: &InstanceId| assembler.is_some_and(|it| it.is_suspect(id));
        let is_suspect = |entry: &&InstanceEntry| {
            is_known_unhealthy(&entry.id)
                || entry.seat.is_some() && directory.unlisted.contains(&entry.id)
        };
        let doubted: Vec<&InstanceEntry> = directory
            .instances(&service.id)
            .filter(is_suspect)
            .collect();
        for entry in doubted {
            self.probe(entry, DOUBTED_PROBE_PERIOD, MAX_PROBE_FAILURES, now);
        }
    }

    /// Probes an instance, unless it was probed within the last `period`.
    fn probe(&mut self, entry: &InstanceEntry, period: Duration, max_failures: u32, now: Instant) {
        let probed_at = self.probed_at.get(&entry.id);
        if probed_at.is_some_and(|&at| now.duration_since(at) < period) {
            return;
        }
        self.probed_at.insert(entry.id.clone(), now);
        let gateway = Arc::clone(&self.gateway);
        let entry = entry.clone();
        self.probes.spawn(async move {
            let result = probe_instance(&gateway, &entry, max_failures).await;
            ProbeReport {
                service: entry.service,
                instance: entry.id,
                result,
            }
        });
    }

    fn handle_probe_report(&mut self, probe: &ProbeReport) {
        let gateway = Arc::clone(&self.gateway);
        let directory = gateway.knowledge.directory();
        let Some(catalog) = gateway.knowledge.catalog() else {
            return;
        };
        let Some(service) = catalog.services.get(&probe.service) else {
            return;
        };
        self.with_assembler(&directory, service, |assembler, view| match &probe.result {
            ProbeResult::Responding(report) => {
                assembler.handle_report(&probe.instance, report, view);
            }
            ProbeResult::Lost => assembler.mark_silent(&probe.instance),
            ProbeResult::Unknown => {}
        });
    }
}
