//! [`Leader`].

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cuminlb_assembly::{
    AssemblyStep, FormingGroup, InstanceHealth, Situation, group_name, plan_assembly,
};
use cuminlb_catalog::{
    EngineSpec, GroupOrder, InstanceEntry, OrderOutcome, Seat, UpstreamService,
};
use cuminlb_types::prelude::*;
use log::{info, warn};
use tokio::task::JoinSet;
use tokio::time::{Instant, interval, sleep_until};
use tokio_util::sync::CancellationToken;

use super::leader_memory::LeaderMemory;
use super::leadership::Leadership;
use super::lease_rows::LEASE_TERMS;
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

/// The time from asking an instance how it is to asking it again.
const PROBE_PERIOD: Duration = Duration::from_millis(250);

/// The time from asking a silent instance to asking it again.
const SILENT_PROBE_PERIOD: Duration = Duration::from_millis(800);

/// How long the effect of an answered order may take to show.
const EFFECT_TIMEOUT: Duration = Duration::from_millis(900);

/// How many times longer than stated a load may take, as loads slow each other.
const LOAD_FACTOR: u32 = 3;

/// The time that forming a group may take beside its slowest join.
const FORM_SLACK: Duration = Duration::from_millis(3_000);

/// The time beyond the announced one after which a head without members has given up.
const GIVE_UP_SLACK: Duration = Duration::from_millis(1_000);

/// The epochs that one lease gives at most, as a power of two.
const EPOCH_BITS: u32 = 16;

/// Gives the orders while this node leads.
pub(super) struct Leader {
    gateway: Arc<Gateway>,
    memory: LeaderMemory,
    orders: JoinSet<OrderReport>,
    probes: JoinSet<ProbeReport>,
    epoch: Epoch,
}

impl Leader {
    pub(super) fn new(gateway: Arc<Gateway>) -> Self {
        let give_up = gateway.live_settings().bounds.stall_ms.duration() + GIVE_UP_SLACK;
        Self {
            gateway,
            memory: LeaderMemory::new(give_up),
            orders: JoinSet::new(),
            probes: JoinSet::new(),
            epoch: Epoch(0),
        }
    }

    /// Leads until the lease is lost or `stop` is cancelled.
    pub(super) async fn run(&mut self, leadership: &mut Leadership, stop: &CancellationToken) {
        info!("leading");
        let gateway = Arc::clone(&self.gateway);
        let mut changes = gateway.knowledge.directory_changes();
        let mut plan_timer = interval(PLAN_PERIOD);
        let period = LEASE_TERMS.renewal_period_ms().duration();
        let mut renew_at = Instant::now() + period;
        while leadership.is_held() {
            tokio::select! {
                () = stop.cancelled() => break,
                () = sleep_until(renew_at) => {
                    renew_at = Instant::now() + period;
                    leadership.write(&gateway, LEASE_TERMS.length_ms).await;
                }
                _ = plan_timer.tick() => {}
                changed = changes.changed() => if changed.is_err() { break },
                () = gateway.suspicions.wait() => {}
                Some(Ok(report)) = self.orders.join_next() => self.note_order(report),
                Some(Ok(report)) = self.probes.join_next() => self.note_probe(report),
            }
            let now = Instant::now();
            let Some(lease) = leadership.valid(now) else {
                continue;
            };
            let base = Epoch(lease.version.get() << EPOCH_BITS);
            if self.epoch == Epoch(0) {
                self.epoch = base;
            }
            self.act(now);
        }
        info!("leading no more");
    }

    fn act(&mut self, now: Instant) {
        let gateway = Arc::clone(&self.gateway);
        let directory = gateway.knowledge.directory();
        let Some(catalog) = gateway.knowledge.catalog() else {
            return;
        };
        for service in catalog.engine_services() {
            if let Some(engine) = &service.engine {
                self.check_suspicions(&directory, service, now);
                self.check_silent(&directory, service, now);
                self.mend(&directory, service, engine, now);
            }
        }
    }

    /// Compares the groups of a service with what they should be and gives the orders.
    fn mend(
        &mut self,
        directory: &Directory,
        service: &UpstreamService,
        engine: &EngineSpec,
        now: Instant,
    ) {
        let none = BTreeMap::new();
        let instances = directory.services.get(&service.id).unwrap_or(&none);
        let groups = directory.groups.get(&service.id).map_or(&[][..], Vec::as_slice);
        self.memory.note_seen(now, instances);
        self.memory.forget_past(now, instances);
        self.memory.health.retain(|id, _| instances.contains_key(id));
        self.review_forming(instances, groups, now);
        let steps = plan_assembly(
            &Situation {
                engine,
                instances,
                groups,
                forming: &self.memory.forming_groups(),
                health: &self.memory.health,
                ordered: &self.memory.ordered(),
                staging: &self.memory.staging(),
                holds: &self.memory.holds,
                first_seen: &self.memory.first_seen,
                unlisted: &directory.unlisted,
                zones_out: &directory.zones_out,
                is_busy: self.gateway.has_callers(),
                loads_running: self.memory.loads_running(),
            },
            now,
        );
        for step in steps {
            self.take_step(step, engine, instances, now);
        }
    }

    /// Forgets groups that serve by now, and those that can't be formed any more.
    fn review_forming(
        &mut self,
        instances: &BTreeMap<InstanceId, InstanceEntry>,
        groups: &[cuminlb_assembly::GroupView],
        now: Instant,
    ) {
        let health = &self.memory.health;
        self.memory.forming.retain(|(forming, until)| {
            let view = groups
                .iter()
                .find(|group| group.group == forming.group && group.epoch == forming.epoch);
            if view.is_some_and(cuminlb_assembly::GroupView::is_serving) {
                info!(group:% = forming.group, epoch:% = forming.epoch; "group serves");
                return false;
            }
            let lost = forming.members.iter().find(|id| {
                let entry = instances.get(*id);
                health.contains_key(*id) || entry.is_none_or(|entry| entry.is_leaving)
            });
            if let Some(lost) = lost {
                warn!(group:% = forming.group, instance:% = lost; "a member was lost while forming");
                return false;
            }
            if now >= *until {
                warn!(group:% = forming.group, epoch:% = forming.epoch; "forming took too long");
                return false;
            }
            true
        });
    }

    fn take_step(
        &mut self,
        step: AssemblyStep,
        engine: &EngineSpec,
        instances: &BTreeMap<InstanceId, InstanceEntry>,
        now: Instant,
    ) {
        let effect = now + ORDER_TIMEOUT_MS.duration() + EFFECT_TIMEOUT;
        match step {
            AssemblyStep::Close {
                head,
                group,
                epoch,
                mode,
            } => {
                self.note_effect(&head, instances, effect);
                self.order(&head, GroupOrder::Close { group, epoch, mode }, instances);
            }
            AssemblyStep::Leave {
                member,
                group,
                epoch,
            } => {
                self.note_effect(&member, instances, effect);
                self.order(&member, GroupOrder::Leave { group, epoch }, instances);
            }
            AssemblyStep::Open { head, group, epoch } => {
                self.note_effect(&head, instances, effect);
                self.order(&head, GroupOrder::Open { group, epoch }, instances);
            }
            AssemblyStep::Stage { instance, model } => {
                let load_ms = engine.model(&model).map_or(Millis(0), |shape| shape.load_ms);
                let until = now + load_ms.duration() * LOAD_FACTOR;
                self.memory.note_staging(&instance, &model, until);
                self.order(&instance, GroupOrder::Stage { model }, instances);
            }
            AssemblyStep::Warm { instance, model } => {
                self.note_effect(&instance, instances, effect);
                self.warm(&instance, model, instances);
            }
            AssemblyStep::Form {
                model,
                group,
                members,
                loads,
            } => self.form(model, group, members, loads, engine, instances, now),
        }
    }

    /// Remembers that an order will show its effect in an instance's seat.
    fn note_effect(
        &mut self,
        id: &InstanceId,
        instances: &BTreeMap<InstanceId, InstanceEntry>,
        until: Instant,
    ) {
        let seat = instances.get(id).and_then(|entry| entry.seat.clone());
        self.memory.note_order(id, seat, until);
    }

    fn form(
        &mut self,
        model: ModelId,
        group: Option<GroupId>,
        members: Vec<InstanceId>,
        loads: usize,
        engine: &EngineSpec,
        instances: &BTreeMap<InstanceId, InstanceEntry>,
        now: Instant,
    ) {
        self.epoch = self.epoch.next();
        let epoch = self.epoch;
        let group = group.or_else(|| group_name(&model, epoch));
        let (Some(group), Some(shape)) = (group, engine.model(&model)) else {
            warn!(model:% = model; "the model's name is too long for its groups");
            return;
        };
        let join = if loads > 0 {
            shape.load_ms.duration() * LOAD_FACTOR
        } else {
            shape.warm_ms.duration()
        };
        let list: Vec<&str> = members.iter().map(InstanceId::as_str).collect();
        info!(group:% = group, epoch:% = epoch, members = list.join(","), loads = loads; "group forms");
        for member in &members {
            let order = GroupOrder::Join {
                group: group.clone(),
                epoch,
                model: model.clone(),
                members: members.clone(),
            };
            self.order(member, order, instances);
        }
        let forming = FormingGroup {
            group,
            epoch,
            model,
            members,
            loads,
        };
        self.memory.forming.push((forming, now + join + FORM_SLACK));
    }

    /// Makes an unused instance the only member of a group that never serves.
    fn warm(
        &mut self,
        instance: &InstanceId,
        model: ModelId,
        instances: &BTreeMap<InstanceId, InstanceEntry>,
    ) {
        self.epoch = self.epoch.next();
        let epoch = self.epoch;
        let Some(group) = group_name(&model, epoch) else {
            return;
        };
        let order = GroupOrder::Join {
            group,
            epoch,
            model,
            members: vec![instance.clone()],
        };
        self.order(instance, order, instances);
    }

    fn order(
        &mut self,
        instance: &InstanceId,
        order: GroupOrder,
        instances: &BTreeMap<InstanceId, InstanceEntry>,
    ) {
        let Some(entry) = instances.get(instance) else {
            return;
        };
        let control = Arc::clone(&self.gateway.edges.instances);
        let instance = instance.clone();
        let address = entry.address;
        self.orders.spawn(async move {
            let outcome = control
                .order(address, &instance, &order, ORDER_TIMEOUT_MS)
                .await;
            OrderReport {
                instance,
                order,
                outcome,
            }
        });
    }

    fn note_order(&mut self, report: OrderReport) {
        let OrderReport {
            instance,
            order,
            outcome,
        } = report;
        info!(instance:% = instance, order = order.name(), details:? = order, outcome:? = outcome; "order given");
        let now = Instant::now();
        match &order {
            GroupOrder::Leave { .. } if outcome.is_accepted() => {
                self.memory.holds.hold(instance.clone(), now);
            }
            GroupOrder::Stage { .. } if !outcome.is_accepted() => {
                self.memory.clear_staging(&instance);
            }
            GroupOrder::Join { epoch, .. } if !outcome.is_accepted() => {
                self.memory.forming.retain(|(forming, _)| forming.epoch != *epoch);
            }
            GroupOrder::Open { .. } | GroupOrder::Close { .. } if !outcome.is_accepted() => {
                self.memory.wait_until(&instance, now + PLAN_PERIOD);
            }
            _ => {}
        }
        if matches!(outcome, OrderOutcome::Unreachable | OrderOutcome::Unknown) {
            let directory = self.gateway.knowledge.directory();
            let services = directory.services.values();
            let mut entries = services.filter_map(|instances| instances.get(&instance));
            if let Some(entry) = entries.next() {
                self.probe(entry, now);
            }
        }
    }

    /// Asks the members of groups whose heads were reported silent how they are.
    fn check_suspicions(&mut self, directory: &Directory, service: &UpstreamService, now: Instant) {
        for notice in self.gateway.suspicions.take() {
            info!(
                node:% = notice.node, instance:% = notice.head, group:% = notice.group,
                silent_ms = notice.silent_ms.get(); "head reported silent"
            );
            let groups = directory.groups.get(&service.id).into_iter().flatten();
            let mut groups = groups.filter(|group| group.epoch == notice.epoch);
            let Some(group) = groups.find(|group| group.group == notice.group) else {
                continue;
            };
            for member in group.present() {
                if let Some(entry) = directory.instance(&service.id, member) {
                    self.probe(entry, now);
                }
            }
        }
    }

    /// Asks silent instances once more, and members of groups whose entries have vanished.
    fn check_silent(&mut self, directory: &Directory, service: &UpstreamService, now: Instant) {
        for entry in directory.instances(&service.id) {
            let is_silent = self.memory.health.contains_key(&entry.id);
            if is_silent || entry.seat.is_some() && directory.unlisted.contains(&entry.id) {
                self.probe(entry, now);
            }
        }
    }

    fn probe(&mut self, entry: &InstanceEntry, now: Instant) {
        let probed_at = self.memory.probed_at.get(&entry.id);
        let unlisted = &self.gateway.knowledge.directory().unlisted;
        let period = if self.memory.health.contains_key(&entry.id) || unlisted.contains(&entry.id) {
            SILENT_PROBE_PERIOD
        } else {
            PROBE_PERIOD
        };
        if probed_at.is_some_and(|&at| now.duration_since(at) < period) {
            return;
        }
        self.memory.probed_at.insert(entry.id.clone(), now);
        let control = Arc::clone(&self.gateway.edges.instances);
        let instance = entry.id.clone();
        let address = entry.address;
        self.probes.spawn(async move {
            let mut report = None;
            for _ in 0..PROBE_TRIES {
                report = control.report(address, PROBE_TIMEOUT_MS).await;
                if report.is_some() {
                    break;
                }
            }
            ProbeReport { instance, report }
        });
    }

    fn note_probe(&mut self, probe: ProbeReport) {
        let ProbeReport { instance, report } = probe;
        let directory = self.gateway.knowledge.directory();
        let mut services = directory.services.values();
        let entry = services.find_map(|instances| instances.get(&instance));
        let place = |seat: &Option<Seat>| seat.as_ref().map(|seat| (seat.group.clone(), seat.epoch));
        match report {
            // An instance that can't tell the list of its end has lost its place if it has another.
            Some(report)
                if directory.unlisted.contains(&instance)
                    && entry.is_none_or(|entry| place(&entry.seat) != place(&report.seat)) =>
            {
                info!(instance:% = instance, seat:? = report.seat; "unlisted instance has another place");
                self.memory.health.insert(instance, InstanceHealth::Ended);
            }
            Some(report) => {
                let was = self.memory.health.remove(&instance);
                info!(
                    instance:% = instance, was:? = was, seat:? = report.seat,
                    running = report.running, waiting = report.waiting, slowdown = report.slowdown;
                    "instance answers"
                );
            }
            None => {
                let silent = InstanceHealth::Silent;
                if self.memory.health.insert(instance.clone(), silent).is_none() {
                    info!(instance:% = instance; "instance silent");
                }
            }
        }
    }
}
