//! [`Leader`].

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cuminlb_assembly::{Assembler, AssemblyView, InstanceOrder};
use cuminlb_catalog::{InstanceEntry, UpstreamService};
use cuminlb_types::prelude::*;
use log::info;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, interval};
use tokio_util::sync::CancellationToken;

use super::lease_in_force::LeaseInForce;
use super::order_report::OrderReport;
use super::probe_report::ProbeReport;
use crate::gateway::Gateway;
use crate::knowledge::Directory;

/// How often the plan is made when nothing happens.
const PLAN_PERIOD: Duration = Duration::from_millis(200);

/// The time after which an order counts as unanswered.
const ORDER_TIMEOUT_MS: Millis = Millis(800);

/// The time after which an instance that is asked how it is counts as silent.
const PROBE_TIMEOUT_MS: Millis = Millis(110);

/// How often an instance is asked before it counts as silent.
const PROBE_TRIES: u32 = 2;

/// How often a member is asked whom another node has found silent already.
const SECOND_PROBE_TRIES: u32 = 1;

/// The time from asking an instance how it is to asking it again.
const PROBE_PERIOD: Duration = Duration::from_millis(250);

/// The time from asking a silent or unlisted instance to asking it again.
const DOUBTED_PROBE_PERIOD: Duration = Duration::from_millis(800);

/// The time beyond the announced one after which a head without members has given up.
const GIVE_UP_SLACK: Duration = Duration::from_millis(1_000);

/// Gives the orders while this node leads.
pub(super) struct Leader {
    gateway: Arc<Gateway>,
    base: Epoch,
    assemblers: BTreeMap<ServiceId, Assembler>,
    orders: JoinSet<OrderReport>,
    probes: JoinSet<ProbeReport>,
    /// When each instance was last asked how it is.
    probed_at: BTreeMap<InstanceId, Instant>,
}

impl Leader {
    /// Prepares to lead with epochs above `base`.
    pub(super) fn new(gateway: Arc<Gateway>, base: Epoch) -> Self {
        Self {
            gateway,
            base,
            assemblers: BTreeMap::new(),
            orders: JoinSet::new(),
            probes: JoinSet::new(),
            probed_at: BTreeMap::new(),
        }
    }

    /// Leads until the lease is lost or `stop` is cancelled.
    pub(super) async fn run(
        &mut self,
        lease: &mut watch::Receiver<Option<LeaseInForce>>,
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
                Some(Ok(report)) = self.orders.join_next() => self.note_order(&report),
                Some(Ok(report)) = self.probes.join_next() => self.note_probe(&report),
            }
            let now = Instant::now();
            match *lease.borrow() {
                None => return,
                Some(held) if held.is_valid(now) => self.act(now),
                Some(_) => {}
            }
        }
    }

    fn act(&mut self, now: Instant) {
        let gateway = Arc::clone(&self.gateway);
        let directory = gateway.knowledge.directory();
        let Some(catalog) = gateway.knowledge.catalog() else {
            return;
        };
        self.check_suspicions(&directory, now);
        let is_listed = |id: &InstanceId| directory.any_instance(id).is_some();
        self.probed_at.retain(|id, _| is_listed(id));
        for service in catalog.engine_services() {
            self.check_doubted(&directory, service, now);
            let orders = self.with_assembler(&directory, service, |assembler, view| {
                assembler.act(view, now)
            });
            for order in orders.into_iter().flatten() {
                self.give(&directory, order);
            }
        }
    }

    /// Lets the assembler of a service act on what is known of the service.
    fn with_assembler<T>(
        &mut self,
        directory: &Directory,
        service: &UpstreamService,
        act: impl FnOnce(&mut Assembler, &AssemblyView<'_>) -> T,
    ) -> Option<T> {
        let none = BTreeMap::new();
        let give_up = self.gateway.live_settings().bounds.stall_ms.duration() + GIVE_UP_SLACK;
        let base = self.base;
        let assembler = self
            .assemblers
            .entry(service.id.clone())
            .or_insert_with(|| Assembler::new(base, give_up, Instant::now()));
        let view = AssemblyView {
            engine: service.engine.as_ref()?,
            instances: directory.services.get(&service.id).unwrap_or(&none),
            groups: directory
                .groups
                .get(&service.id)
                .map_or(&[][..], Vec::as_slice),
            unlisted: &directory.unlisted,
            zones_out: &directory.zones_out,
            is_busy: self.gateway.has_callers(),
        };
        Some(act(assembler, &view))
    }

    fn give(&mut self, directory: &Directory, order: InstanceOrder) {
        let InstanceOrder { instance, order } = order;
        let Some(entry) = directory.any_instance(&instance) else {
            return;
        };
        self.gateway.metrics.orders.inc();
        let service = entry.service.clone();
        let address = entry.address;
        let control = Arc::clone(&self.gateway.edges.instances);
        self.orders.spawn(async move {
            let outcome = control
                .order(address, &instance, &order, ORDER_TIMEOUT_MS)
                .await;
            OrderReport {
                service,
                instance,
                order,
                outcome,
            }
        });
    }

    fn note_order(&mut self, report: &OrderReport) {
        info!(
            instance:% = report.instance, order = report.order.name(), details:? = report.order,
            outcome:? = report.outcome;
            "order given"
        );
        let now = Instant::now();
        let Some(assembler) = self.assemblers.get_mut(&report.service) else {
            return;
        };
        if assembler.record_outcome(&report.instance, &report.order, report.outcome, now) {
            let directory = self.gateway.knowledge.directory();
            if let Some(entry) = directory.any_instance(&report.instance) {
                self.probe(entry, PROBE_PERIOD, PROBE_TRIES, now);
            }
        }
    }

    /// Asks the members of groups that other nodes have found amiss how they are.
    fn check_suspicions(&mut self, directory: &Directory, now: Instant) {
        for notice in self.gateway.suspicions.take() {
            info!(
                node:% = notice.node, instance:% = notice.head, group:% = notice.group,
                epoch:% = notice.epoch, silent_ms = notice.silent_ms.get();
                "head reported silent"
            );
            let mut groups = directory.groups.values().flatten();
            let is_meant = |group: &&cuminlb_assembly::GroupView| {
                group.epoch == notice.epoch && group.group == notice.group
            };
            let Some(group) = groups.find(is_meant) else {
                continue;
            };
            for member in group.present() {
                if let Some(entry) = directory.any_instance(member) {
                    self.probe(entry, PROBE_PERIOD, SECOND_PROBE_TRIES, now);
                }
            }
        }
    }

    /// Asks silent and slow instances once more, and members of groups whose entries have vanished.
    fn check_doubted(&mut self, directory: &Directory, service: &UpstreamService, now: Instant) {
        let assembler = self.assemblers.get(&service.id);
        let is_known_bad = |id: &InstanceId| assembler.is_some_and(|it| it.is_suspect(id));
        let is_suspect = |entry: &&InstanceEntry| {
            is_known_bad(&entry.id)
                || entry.seat.is_some() && directory.unlisted.contains(&entry.id)
        };
        let doubted: Vec<&InstanceEntry> = directory
            .instances(&service.id)
            .filter(is_suspect)
            .collect();
        for entry in doubted {
            self.probe(entry, DOUBTED_PROBE_PERIOD, PROBE_TRIES, now);
        }
    }

    /// Asks an instance how it is, unless that was done within a period.
    fn probe(&mut self, entry: &InstanceEntry, period: Duration, tries: u32, now: Instant) {
        let probed_at = self.probed_at.get(&entry.id);
        if probed_at.is_some_and(|&at| now.duration_since(at) < period) {
            return;
        }
        self.probed_at.insert(entry.id.clone(), now);
        let control = Arc::clone(&self.gateway.edges.instances);
        let service = entry.service.clone();
        let instance = entry.id.clone();
        let address = entry.address;
        self.probes.spawn(async move {
            let mut report = None;
            for _ in 0..tries {
                report = control.report(address, PROBE_TIMEOUT_MS).await;
                if report.is_some() {
                    break;
                }
            }
            ProbeReport {
                service,
                instance,
                report,
            }
        });
    }

    fn note_probe(&mut self, probe: &ProbeReport) {
        let gateway = Arc::clone(&self.gateway);
        let directory = gateway.knowledge.directory();
        let Some(catalog) = gateway.knowledge.catalog() else {
            return;
        };
        let Some(service) = catalog.services.get(&probe.service) else {
            return;
        };
        self.with_assembler(&directory, service, |assembler, view| match &probe.report {
            Some(report) => assembler.handle_report(&probe.instance, report, view),
            None => assembler.mark_silent(&probe.instance),
        });
    }
}
