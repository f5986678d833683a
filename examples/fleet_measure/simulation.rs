//! The discrete-time simulation of one fleet under one planner.

use std::collections::BTreeMap;

use cuminlb_config::FleetSpec;
use cuminlb_fleet::planning::{Candidate, PlanInput, RosterChange, choose_spares, plan_groups};
use cuminlb_fleet::rows::{GroupRecord, GroupState, Roster};
use cuminlb_types::prelude::*;

use crate::fleet_file::{fleet, id};
use crate::instance::{ACCELERATORS_PER_INSTANCE, Instance};
use crate::measures::Measures;
use crate::naive;
use crate::planner_kind::PlannerKind;
use crate::schedule::{FleetEvent, RUN_DURATION_S, STEP_S, Schedule, ZONE_COUNT};
use crate::serving_counts::ServingCounts;
use crate::size::FleetSize;

/// The minimum time in which one instance loads its weights.
const MIN_LOAD_DURATION_S: f64 = 60.0;

/// The number of members that the product allows to load weights at the same time.
const MAX_LOADING_MEMBERS: usize = 32;

/// The time after a zone change in which downtime is still attributed to it.
const ZONE_SETTLING_S: u64 = 1_800;

/// The state of one simulated fleet under one planner.
pub(crate) struct Simulation {
    size: FleetSize,
    planner: PlannerKind,
    fleet: FleetSpec,
    weights: [f64; 3],
    zones_in: [bool; ZONE_COUNT as usize],
    zone_changed_at_s: Option<u64>,
    ids: Vec<InstanceId>,
    instances: BTreeMap<InstanceId, Instance>,
    roster: Roster,
    spares: Vec<InstanceId>,
    needs_planning: bool,
}

impl Simulation {
    /// Creates a fleet whose fabric domains are distributed over the zones round-robin.
    pub(crate) fn new(size: FleetSize, weights: [f64; 3], planner: PlannerKind) -> Self {
        let zones_in = [true; ZONE_COUNT as usize];
        let ids: Vec<InstanceId> = (0..size.workers)
            .map(|index| id(format!("i{index}")))
            .collect();
        let instance = |index: usize| {
            let domain = u32::try_from(index).unwrap_or_default() / size.instances_per_domain;
            Instance {
                zone: id(format!("z{}", domain % ZONE_COUNT)),
                domain: id(format!("d{domain}")),
                is_up: true,
                incarnation: Incarnation(1),
                loaded_fraction: 0.0,
            }
        };
        let instances = ids.iter().enumerate();
        Self {
            size,
            planner,
            fleet: fleet(size, weights, zones_in),
            weights,
            zones_in,
            zone_changed_at_s: None,
            instances: instances
                .map(|(index, id)| (id.clone(), instance(index)))
                .collect(),
            ids,
            roster: Roster::default(),
            spares: Vec::new(),
            needs_planning: true,
        }
    }

    /// Runs a schedule and returns its costs, without those of the first hour, in which all groups
    /// form.
    pub(crate) fn run(mut self, schedule: &Schedule) -> Measures {
        let mut measures = Measures::default();
        let mut counts = ServingCounts::default();
        for at_s in (0..RUN_DURATION_S).step_by(STEP_S as usize) {
            for event in schedule.at(at_s) {
                self.apply_event(event, at_s);
            }
            self.load_weights();
            if self.needs_planning {
                self.update_group_states();
                self.plan();
                counts = self.count_serving();
            }
            if at_s >= 3_600 {
                measures = measures + self.measure(at_s, counts);
            }
        }
        measures
    }

    fn apply_event(&mut self, event: FleetEvent, at_s: u64) {
        self.needs_planning = true;
        match event {
            FleetEvent::Instance { index, is_up } => {
                let id = &self.ids[index as usize];
                if let Some(instance) = self.instances.get_mut(id) {
                    instance.set_running(is_up);
                }
            }
            FleetEvent::Domain { index, is_up } => {
                let domain: FabricDomainId = id(format!("d{index}"));
                let instances = self.instances.values_mut();
                instances
                    .filter(|instance| instance.domain == domain)
                    .for_each(|instance| instance.set_running(is_up));
            }
            FleetEvent::Zone { index, is_in } => {
                self.zones_in[index as usize] = is_in;
                self.zone_changed_at_s = Some(at_s);
                self.fleet = fleet(self.size, self.weights, self.zones_in);
            }
        }
    }

    /// Updates the states of groups as their owners do: members that are down break a group, and a
    /// draining group without missing members is drained.
    fn update_group_states(&mut self) {
        for group in self.roster.groups.clone() {
            let is_missing = |id: &&InstanceId| !self.is_member_up(&group, id);
            let missing: Vec<InstanceId> =
                group.members.iter().filter(is_missing).cloned().collect();
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
                self.needs_planning = true;
            }
        }
    }

    fn is_member_up(&self, group: &GroupRecord, id: &InstanceId) -> bool {
        let instance = &self.instances[id];
        instance.is_up && group.has_incarnation(id, instance.incarnation)
    }

    fn plan(&mut self) {
        self.needs_planning = false;
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
                self.needs_planning = true;
            }
        }
    }

    fn candidates(&self) -> Vec<Candidate> {
        let candidates = self.instances.iter().map(|(id, instance)| Candidate {
            instance: id.clone(),
            incarnation: instance.incarnation,
            zone: instance.zone.clone(),
            domain: instance.domain.clone(),
            accelerators: AcceleratorCount(ACCELERATORS_PER_INSTANCE),
            usable: instance.is_up && self.fleet.zone_is_in(&instance.zone),
            holds_weights: instance.is_warm(),
        });
        candidates.collect()
    }

    fn loading_members(&self) -> Vec<InstanceId> {
        let groups = self.roster.groups.iter();
        let intact = groups.filter(|group| group.state == GroupState::Intact);
        let loading = intact
            .flat_map(|group| &group.members)
            .filter(|id| self.instances[*id].is_up && !self.instances[*id].is_warm());
        loading.cloned().collect()
    }

    /// Advances weight loading by one time step. The loading members, or if there are none the
    /// spares, share the rate of the weight store equally.
    fn load_weights(&mut self) {
        let mut loading = self.loading_members();
        if loading.is_empty() {
            loading.clone_from(&self.spares);
        }
        let count = u32::try_from(loading.len()).unwrap_or(u32::MAX).max(1);
        let share = f64::from(self.size.loads_per_min) / 60.0 / f64::from(count);
        let progress = share.min(1.0 / MIN_LOAD_DURATION_S) * f64::from(STEP_S as u32);
        for id in loading {
            if let Some(instance) = self.instances.get_mut(&id) {
                instance.loaded_fraction += progress;
                self.needs_planning |= instance.is_warm();
            }
        }
    }

    /// Counts the serving groups, the possible ones and the instances outside the serving ones.
    fn count_serving(&self) -> ServingCounts {
        let groups = self.roster.groups.iter();
        let serving_groups: Vec<&GroupRecord> =
            groups.filter(|group| self.is_serving(group)).collect();
        let members: usize = serving_groups.iter().map(|group| group.members.len()).sum();
        let mut usable: BTreeMap<&FabricDomainId, usize> = BTreeMap::new();
        for instance in self.instances.values() {
            let is_usable = instance.is_up && self.fleet.zone_is_in(&instance.zone);
            *usable.entry(&instance.domain).or_default() += usize::from(is_usable);
        }
        let size = self.size.members_per_group as usize;
        ServingCounts {
            serving_groups: serving_groups.len(),
            possible_groups: usable.values().map(|count| count / size).sum(),
            stranded_instances: usable.values().sum::<usize>().saturating_sub(members),
        }
    }

    fn measure(&self, at_s: u64, counts: ServingCounts) -> Measures {
        let replicas = self.size.replicas as usize;
        let total_s = |count: usize| count as u64 * STEP_S;
        let down = total_s(replicas.saturating_sub(counts.serving_groups));
        let unavoidable = total_s(replicas.saturating_sub(counts.possible_groups));
        let zone_is_out = self.zones_in.contains(&false);
        let is_settling = self
            .zone_changed_at_s
            .is_some_and(|changed_s| at_s < changed_s + ZONE_SETTLING_S);
        let during_zone_change = zone_is_out || is_settling;
        Measures {
            downtime_group_s: down,
            unavoidable_group_s: unavoidable,
            zone_change_group_s: if during_zone_change {
                down.saturating_sub(unavoidable)
            } else {
                0
            },
            stranded_accelerator_s: total_s(counts.stranded_instances)
                * u64::from(ACCELERATORS_PER_INSTANCE),
        }
    }

    fn is_serving(&self, group: &GroupRecord) -> bool {
        group.state == GroupState::Intact
            && self.fleet.zone_is_in(&group.zone)
            && group
                .members
                .iter()
                .all(|id| self.is_member_up(group, id) && self.instances[id].is_warm())
    }
}
