//! Engines and leaders, with orders that are lost, late, repeated and out of turn; what must hold of
//! them is in `checks`.

mod checks;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cuminlb_assembly::{Assembler, AssemblyView, GroupView, InstanceOrder};
use cuminlb_catalog::{
    EngineSpec, InstanceEntry, InstanceReport, ModelShape, OrderOutcome, SeatState,
};
use cuminlb_types::prelude::*;
use tokio::time::Instant;

use crate::model_engine::ModelEngine;

/// The time of one step.
pub const STEP: Duration = Duration::from_millis(250);

/// The time within which heads without members give up.
const GIVE_UP: Duration = Duration::from_millis(7_000);

/// The steps after which a head that stands still gives up.
const STALL_STEPS: u32 = 24;

/// What becomes of an order on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    Delivered,
    AnswerLost,
    Lost,
    /// Carried out after so many steps, without an answer.
    Late(u8),
}

pub struct EngineWorld {
    pub now: Instant,
    pub engine: EngineSpec,
    pub engines: BTreeMap<InstanceId, ModelEngine>,
    /// What leaders see, which may be out of date.
    seen: BTreeMap<InstanceId, InstanceEntry>,
    leader: Assembler,
    epoch_base: u64,
    late: Vec<(u8, u64, InstanceOrder)>,
    /// Members that have been ready, by life, group and epoch.
    been_ready: BTreeSet<(InstanceId, u64, GroupId, Epoch)>,
    stalled_steps: BTreeMap<InstanceId, u32>,
    silent: BTreeSet<InstanceId>,
    /// What has happened to each order, for the message of a failure.
    history: Vec<String>,
    steps: u32,
}

impl EngineWorld {
    pub fn new(domains: u32, each: u32) -> Self {
        let model = |id: &str, size, share| ModelShape {
            id: id.parse().unwrap(),
            size: MemberCount(size),
            share,
            pace: 1.0,
            load_ms: Millis(500),
            warm_ms: Millis(250),
        };
        let now = Instant::now();
        let engines = (0..domains * each).map(|number| ModelEngine::new(number, number / each));
        let engines: BTreeMap<_, _> = engines.map(|it| (it.id.clone(), it)).collect();
        let mut world = Self {
            now,
            engine: EngineSpec {
                models: vec![model("big", 4, 0.67), model("small", 2, 0.33)],
                slots: SlotCount(8),
                kv_capacity: TokenCount(1),
                loads_at_once: 6,
                loads_per_s: 4.0,
                step_ms: 6.0,
                step_ms_per_writer: 0.2,
                steps_per_pass: 5,
                read_per_s: 46_000.0,
            },
            engines,
            seen: BTreeMap::new(),
            leader: Assembler::new(Epoch(1_000), GIVE_UP, now),
            epoch_base: 1_000,
            late: Vec::new(),
            been_ready: BTreeSet::new(),
            stalled_steps: BTreeMap::new(),
            silent: BTreeSet::new(),
            history: Vec::new(),
            steps: 0,
        };
        world.look(&[]);
        world
    }

    /// Replaces the leader by one that remembers nothing; orders of the one before are still
    /// under way.
    pub fn change_leader(&mut self) {
        self.epoch_base += 1_000;
        self.leader = Assembler::new(Epoch(self.epoch_base), GIVE_UP, self.now);
        self.silent.clear();
    }

    pub fn kill(&mut self, id: &InstanceId) {
        self.engines.get_mut(id).unwrap().is_alive = false;
    }

    /// Makes an engine slow, or quick again, and lets the leader hear of it.
    pub fn set_slowdown(&mut self, id: &InstanceId, slowdown: f64) {
        self.engines.get_mut(id).unwrap().slowdown = slowdown;
        self.probe(id);
    }

    pub fn restart(&mut self, id: &InstanceId) {
        self.engines.get_mut(id).unwrap().restart();
    }

    /// Lets leaders see the present entries, but for those of some engines.
    pub fn look(&mut self, hidden: &[InstanceId]) {
        for (id, engine) in &self.engines {
            if engine.is_alive && !hidden.contains(id) {
                self.seen.insert(id.clone(), engine.entry());
            }
        }
    }

    /// The leader asks an engine how it is.
    pub fn probe(&mut self, id: &InstanceId) {
        let engine = &self.engines[id];
        if !engine.is_alive {
            self.silent.insert(id.clone());
            self.leader.note_silence(id);
            return;
        }
        self.silent.remove(id);
        let report = InstanceReport {
            life: Incarnation(engine.life),
            orders: OrderSequence(0),
            is_busy: false,
            waiting: 0,
            running: 0,
            slowdown: engine.slowdown,
            staged: Vec::new(),
            seat: engine.entry().seat,
        };
        let groups = GroupView::collect(&self.engine, self.seen.values());
        let none = BTreeSet::new();
        let zones = BTreeSet::new();
        let view = view(&self.engine, &self.seen, &groups, &none, &zones);
        self.leader.note_answer(id, &report, &view);
    }

    /// Lets a step of time pass; `fate` tells what becomes of each order that the leader gives.
    pub fn step(&mut self, mut fate: impl FnMut() -> Fate) {
        self.now += STEP;
        self.steps += 1;
        self.pass_time();
        let due: Vec<_> = self
            .late
            .extract_if(.., |(steps, ..)| *steps == 0)
            .collect();
        for (steps, ..) in &mut self.late {
            *steps -= 1;
        }
        for (_, life, order) in due {
            if self.engines[&order.instance].life == life {
                let line = format!("{} {} late {:?}", self.steps, order.instance, order.order);
                self.history.push(line);
                self.carry_out(&order);
            }
        }
        let groups = GroupView::collect(&self.engine, self.seen.values());
        let none = BTreeSet::new();
        let zones = BTreeSet::new();
        let orders = {
            let view = view(&self.engine, &self.seen, &groups, &none, &zones);
            self.leader.act(&view, self.now)
        };
        for order in orders {
            let life = self.engines[&order.instance].life;
            let fate = fate();
            let line = format!(
                "{} {} {fate:?} {:?}",
                self.steps, order.instance, order.order
            );
            self.history.push(line);
            let outcome = match fate {
                Fate::Delivered => self.carry_out(&order),
                Fate::AnswerLost => {
                    self.carry_out(&order);
                    OrderOutcome::Unknown
                }
                Fate::Lost => OrderOutcome::Unknown,
                Fate::Late(steps) => {
                    self.late.push((steps, life, order.clone()));
                    OrderOutcome::Unknown
                }
            };
            let now = self.now;
            self.leader
                .note_outcome(&order.instance, &order.order, outcome, now);
        }
    }

    /// Returns the groups that serve with all their members.
    pub fn serving(&self) -> usize {
        self.engines
            .values()
            .filter(|head| head.is_open() && self.is_whole(head))
            .count()
    }

    fn carry_out(&mut self, order: &InstanceOrder) -> OrderOutcome {
        let engine = &self.engines[&order.instance];
        if !engine.is_alive {
            return OrderOutcome::Unreachable;
        }
        if let cuminlb_catalog::GroupOrder::Join { group, epoch, .. } = &order.order {
            self.check_two(engine, group, *epoch);
        }
        self.engines
            .get_mut(&order.instance)
            .unwrap()
            .apply(&order.order)
    }

    /// Returns the number of orders that leaders have given so far.
    pub fn orders_given(&self) -> usize {
        self.history.len()
    }

    fn pass_time(&mut self) {
        let ids: Vec<InstanceId> = self.engines.keys().cloned().collect();
        for id in &ids {
            let engine = self.engines.get_mut(id).unwrap();
            if !engine.is_alive {
                continue;
            }
            let opens = engine.step();
            let engine = self.engines[id].clone();
            let Some(place) = &engine.place else { continue };
            if place.seat.state == SeatState::Ready || place.seat.state == SeatState::Open {
                let (group, epoch) = (place.seat.group.clone(), place.seat.epoch);
                self.been_ready
                    .insert((id.clone(), engine.life, group, epoch));
            }
            if opens {
                self.check_partial(&engine);
            }
            self.note_stall(&engine);
        }
    }

    /// A head whose members are not there gives up after a while.
    fn note_stall(&mut self, head: &ModelEngine) {
        if !head.is_open() || self.is_whole(head) {
            self.stalled_steps.remove(&head.id);
            return;
        }
        let steps = self.stalled_steps.entry(head.id.clone()).or_default();
        *steps += 1;
        if *steps >= STALL_STEPS {
            let engine = self.engines.get_mut(&head.id).unwrap();
            engine.place.as_mut().unwrap().seat.state = SeatState::Broken;
        }
    }
}

fn view<'a>(
    engine: &'a EngineSpec,
    instances: &'a BTreeMap<InstanceId, InstanceEntry>,
    groups: &'a [GroupView],
    unlisted: &'a BTreeSet<InstanceId>,
    zones_out: &'a BTreeSet<ZoneId>,
) -> AssemblyView<'a> {
    AssemblyView {
        engine,
        instances,
        groups,
        unlisted,
        zones_out,
        is_busy: true,
    }
}
