//! [`Simulation`].

use std::collections::BTreeMap;

use cuminlb_config::FleetSpec;
use cuminlb_fleet::planning::{Candidate, PlanInput, RosterChange, choose_spares, plan_groups};
use cuminlb_fleet::rows::{GroupRecord, GroupState, Roster};
use cuminlb_types::prelude::*;

use crate::fleet_file::{fleet, id};
use crate::machine::{ACCELERATORS, Machine};
use crate::measures::Measures;
use crate::naive;
use crate::planner_kind::PlannerKind;
use crate::schedule::{Happening, LENGTH_S, STEP_S, Schedule, ZONES};
use crate::service::Service;
use crate::size::FleetSize;

/// The shortest time in which one instance loads its weights.
const MIN_LOAD_S: f64 = 60.0;

/// The number of members that the product lets load at once.
const MAX_LOADING_MEMBERS: usize = 32;

/// The time after a zone's return that still counts as a change.
const ZONE_SETTLES_S: u64 = 1_800;

/// One fleet under one planner.
pub(crate) struct Simulation {
    size: FleetSize,
    planner: PlannerKind,
    fleet: FleetSpec,
    weights: [f64; 3],
    zones_in: [bool; ZONES as usize],
    zone_changed_s: Option<u64>,
    ids: Vec<InstanceId>,
    machines: BTreeMap<InstanceId, Machine>,
    roster: Roster,
    spares: Vec<InstanceId>,
    changed: bool,
}

impl Simulation {
    /// Creates a fleet whose fabric domains are spread over the zones.
    pub(crate) fn new(size: FleetSize, weights: [f64; 3], planner: PlannerKind) -> Self {
        let zones_in = [true; ZONES as usize];
        let ids: Vec<InstanceId> = (0..size.workers).map(|at| id(format!("i{at}"))).collect();
        let machine = |at: usize| {
            let domain = u32::try_from(at).unwrap_or_default() / size.domain;
            Machine {
                zone: id(format!("z{}", domain % ZONES)),
                domain: id(format!("d{domain}")),
                up: true,
                incarnation: Incarnation(1),
                loaded: 0.0,
            }
        };
        let machines = ids.iter().enumerate();
        Self {
            size,
            planner,
            fleet: fleet(size, weights, zones_in),
            weights,
            zones_in,
            zone_changed_s: None,
            machines: machines.map(|(at, id)| (id.clone(), machine(at))).collect(),
            ids,
            roster: Roster::default(),
            spares: Vec::new(),
            changed: true,
        }
    }

    /// Runs a schedule; what the first hour costs, in which all groups form, is not counted.
    pub(crate) fn run(mut self, schedule: &Schedule) -> Measures {
        let mut measures = Measures::default();
        let mut service = Service::default();
        for at_s in (0..LENGTH_S).step_by(STEP_S as usize) {
            for happening in schedule.at(at_s) {
                self.happen(happening, at_s);
            }
            self.load();
            if self.changed {
                self.owners_report();
                self.plan();
                service = self.service();
            }
            if at_s >= 3_600 {
                measures = measures + self.measure(at_s, service);
            }
        }
        measures
    }

    fn happen(&mut self, happening: Happening, at_s: u64) {
        self.changed = true;
        match happening {
            Happening::Machine { number, up } => {
                let id = &self.ids[number as usize];
                if let Some(machine) = self.machines.get_mut(id) {
                    machine.set_up(up);
                }
            }
            Happening::Domain { number, up } => {
                let domain: FabricDomainId = id(format!("d{number}"));
                let machines = self.machines.values_mut();
                machines
                    .filter(|machine| machine.domain == domain)
                    .for_each(|machine| machine.set_up(up));
            }
            Happening::Zone { number, is_in } => {
                self.zones_in[number as usize] = is_in;
                self.zone_changed_s = Some(at_s);
                self.fleet = fleet(self.size, self.weights, self.zones_in);
            }
        }
    }

    /// Marks groups whose members are gone, and drained groups.
    fn owners_report(&mut self) {
        for group in self.roster.groups.clone() {
            let gone = |id: &&InstanceId| !self.is_member_up(&group, id);
            let missing: Vec<InstanceId> = group.members.iter().filter(gone).cloned().collect();
            let state = match (&group.state, missing.is_empty()) {
                (GroupState::Draining, true) => GroupState::Drained,
                (GroupState::Intact | GroupState::Draining, false) => {
                    GroupState::Broken { missing }
                }
                _ => continue,
            };
            let change = RosterChange::change_state(&self.roster, &group.id, group.epoch, state);
            if let Some(change) = change {
                self.roster = change.roster;
                self.changed = true;
            }
        }
    }

    fn is_member_up(&self, group: &GroupRecord, id: &InstanceId) -> bool {
        let machine = &self.machines[id];
        machine.up && group.has_incarnation(id, machine.incarnation)
    }

    fn plan(&mut self) {
        self.changed = false;
        let loading = self.loading_members().len();
        let input = PlanInput {
            fleet: &self.fleet,
            service: &self.fleet.services[0],
            roster: &self.roster,
            candidates: &self.candidates(),
            load_budget: MAX_LOADING_MEMBERS.saturating_sub(loading),
        };
        let (steps, spares) = match self.planner {
            PlannerKind::Naive => (naive::plan(&input), Vec::new()),
            PlannerKind::Product => (plan_groups(&input), choose_spares(&input)),
        };
        self.spares = if steps.is_empty() { spares } else { Vec::new() };
        let service = self.fleet.services[0].id.clone();
        for step in &steps {
            if let Some(change) = RosterChange::of(&service, &self.roster, step) {
                self.roster = change.roster;
                self.changed = true;
            }
        }
    }

    fn candidates(&self) -> Vec<Candidate> {
        let candidates = self.machines.iter().map(|(id, machine)| Candidate {
            instance: id.clone(),
            incarnation: machine.incarnation,
            zone: machine.zone.clone(),
            domain: machine.domain.clone(),
            accelerators: AcceleratorCount(ACCELERATORS),
            usable: machine.up && self.fleet.zone_is_in(&machine.zone),
            holds_weights: machine.is_warm(),
        });
        candidates.collect()
    }

    fn loading_members(&self) -> Vec<InstanceId> {
        let groups = self.roster.groups.iter();
        let intact = groups.filter(|group| group.state == GroupState::Intact);
        let loading = intact
            .flat_map(|group| &group.members)
            .filter(|id| self.machines[*id].up && !self.machines[*id].is_warm());
        loading.cloned().collect()
    }

    /// Lets the members that load, or else the spares, share the rate of the weight store.
    fn load(&mut self) {
        let mut loading = self.loading_members();
        if loading.is_empty() {
            loading.clone_from(&self.spares);
        }
        let count = u32::try_from(loading.len()).unwrap_or(u32::MAX).max(1);
        let share = f64::from(self.size.loads_per_min) / 60.0 / f64::from(count);
        let progress = share.min(1.0 / MIN_LOAD_S) * f64::from(STEP_S as u32);
        for id in loading {
            if let Some(machine) = self.machines.get_mut(&id) {
                machine.loaded += progress;
                self.changed |= machine.is_warm();
            }
        }
    }

    /// Counts the groups that serve, those that could, and the instances outside of them.
    fn service(&self) -> Service {
        let groups = self.roster.groups.iter();
        let serving: Vec<&GroupRecord> = groups.filter(|group| self.serves(group)).collect();
        let members: usize = serving.iter().map(|group| group.members.len()).sum();
        let mut usable: BTreeMap<&FabricDomainId, usize> = BTreeMap::new();
        for machine in self.machines.values() {
            let is_usable = machine.up && self.fleet.zone_is_in(&machine.zone);
            *usable.entry(&machine.domain).or_default() += usize::from(is_usable);
        }
        let size = self.size.members as usize;
        Service {
            serving: serving.len(),
            capacity: usable.values().map(|count| count / size).sum(),
            outside: usable.values().sum::<usize>().saturating_sub(members),
        }
    }

    fn measure(&self, at_s: u64, service: Service) -> Measures {
        let replicas = self.size.replicas as usize;
        let lasted = |count: usize| count as u64 * STEP_S;
        let down = lasted(replicas.saturating_sub(service.serving));
        let unavoidable = lasted(replicas.saturating_sub(service.capacity));
        let zone_is_out = self.zones_in.contains(&false);
        let settles = self
            .zone_changed_s
            .is_some_and(|changed_s| at_s < changed_s + ZONE_SETTLES_S);
        let at_change = zone_is_out || settles;
        Measures {
            downtime_group_s: down,
            unavoidable_group_s: unavoidable,
            zone_change_group_s: if at_change {
                down.saturating_sub(unavoidable)
            } else {
                0
            },
            stranded_accelerator_s: lasted(service.outside) * u64::from(ACCELERATORS),
        }
    }

    fn serves(&self, group: &GroupRecord) -> bool {
        group.state == GroupState::Intact
            && self.fleet.zone_is_in(&group.zone)
            && group
                .members
                .iter()
                .all(|id| self.is_member_up(group, id) && self.machines[id].is_warm())
    }
}
