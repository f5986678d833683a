//! [`World`]: instances, groups and the rows of the table, in memory.

use std::collections::{BTreeMap, BTreeSet};

use cuminlb_config::FleetSpec;
use cuminlb_fleet::planning::{Candidate, PlanInput, PlanStep, RosterChange, plan_groups};
use cuminlb_fleet::rows::{GroupRecord, GroupState, Roster};
use cuminlb_types::prelude::*;

/// One instance: what is true of it, which may differ from what anybody knows.
#[derive(Clone, Debug)]
pub(crate) struct Machine {
    pub(crate) zone: ZoneId,
    pub(crate) domain: FabricDomainId,
    pub(crate) up: bool,
    pub(crate) leaving: bool,
    pub(crate) incarnation: Incarnation,
    pub(crate) holds_weights: bool,
}

/// A small fleet with one service named `m`.
#[derive(Clone, Debug)]
pub(crate) struct World {
    pub(crate) fleet: FleetSpec,
    pub(crate) machines: BTreeMap<InstanceId, Machine>,
    pub(crate) roster: Roster,
    /// The instance rows: the group that each instance is in.
    pub(crate) rows: BTreeMap<InstanceId, GroupId>,
}

/// Returns a fleet file with two zones, one service and the weights of a deployment.
pub(crate) fn fleet(
    replicas: u32,
    members: u32,
    weights: [f64; 3],
    zones_out: &[&str],
) -> FleetSpec {
    let [downtime, stranded, zone_change] = weights;
    let mut text = format!(
        "[measures]\ngroup_downtime = {downtime:?}\nstranded_accelerators = {stranded:?}\n\
         zone_change = {zone_change:?}\n"
    );
    for zone in ["lami", "nasese"] {
        let state = if zones_out.contains(&zone) {
            "out"
        } else {
            "in"
        };
        text += &format!("[[zone]]\nid = \"{zone}\"\nregion = \"r\"\nstate = \"{state}\"\n");
    }
    text += &format!(
        "[[model_service]]\nid = \"m\"\nmodel = \"m\"\nreplicas = {replicas}\n\
         members_per_replica = {members}\n"
    );
    FleetSpec::parse("fleet", &text).unwrap()
}

impl World {
    /// Creates instances `DOMAIN-N`; each domain has a name, a zone and a size.
    pub(crate) fn new(fleet: FleetSpec, domains: &[(&str, &str, usize)]) -> Self {
        let mut machines = BTreeMap::new();
        for (domain, zone, size) in domains {
            for number in 0..*size {
                let machine = Machine {
                    zone: zone.parse().unwrap(),
                    domain: domain.parse().unwrap(),
                    up: true,
                    leaving: false,
                    incarnation: Incarnation(1),
                    holds_weights: false,
                };
                machines.insert(format!("{domain}-{number}").parse().unwrap(), machine);
            }
        }
        Self {
            fleet,
            machines,
            roster: Roster::default(),
            rows: BTreeMap::new(),
        }
    }

    /// Returns what a planner that probes the instances knows.
    pub(crate) fn candidates(&self) -> Vec<Candidate> {
        let candidates = self.machines.iter().map(|(id, machine)| Candidate {
            instance: id.clone(),
            incarnation: machine.incarnation,
            zone: machine.zone.clone(),
            domain: machine.domain.clone(),
            accelerators: AcceleratorCount(8),
            usable: self.is_usable(id, machine),
            holds_weights: machine.holds_weights,
        });
        candidates.collect()
    }

    /// A planner does not probe members that nobody has reported missing.
    fn is_usable(&self, id: &InstanceId, machine: &Machine) -> bool {
        let mut groups = self.roster.groups.iter();
        let is_proved =
            groups.any(|group| group.members.contains(id) && !group.state.missing().contains(id));
        (machine.up || is_proved) && !machine.leaving && self.fleet.zone_is_in(&machine.zone)
    }

    /// Plans once.
    pub(crate) fn plan(&self, load_budget: usize) -> Vec<PlanStep> {
        plan_groups(&PlanInput {
            fleet: &self.fleet,
            service: &self.fleet.services[0],
            roster: &self.roster,
            candidates: &self.candidates(),
            load_budget,
        })
    }

    /// Carries out one step as the table does: whole, or not at all where a row is not as
    /// expected.
    pub(crate) fn carry_out(&mut self, step: &PlanStep) -> bool {
        let service = &self.fleet.services[0].id;
        let Some(change) = RosterChange::of(service, &self.roster, step) else {
            return false;
        };
        if change.joined.iter().any(|id| self.rows.contains_key(id)) {
            return false;
        }
        for id in &change.freed {
            self.rows
                .retain(|row, group| row != id || *group != change.group.id);
        }
        for id in &change.joined {
            self.rows.insert(id.clone(), change.group.id.clone());
            if let Some(machine) = self.machines.get_mut(id) {
                machine.holds_weights = machine.up;
            }
        }
        self.roster = change.roster;
        true
    }

    /// Plans and carries out every step.
    pub(crate) fn plan_and_carry_out(&mut self) -> Vec<PlanStep> {
        let steps = self.plan(usize::MAX);
        for step in &steps {
            self.carry_out(step);
        }
        steps
    }

    /// Lets the owner of each group report what it sees.
    pub(crate) fn owners_report(&mut self) {
        for group in self.roster.groups.clone() {
            let state = self.reported_state(&group);
            let change = RosterChange::mark(&self.roster, &group.id, group.epoch, state);
            if let Some(change) = change {
                self.roster = change.roster;
            }
        }
    }

    fn reported_state(&self, group: &GroupRecord) -> GroupState {
        let members = group.members.iter();
        let missing: Vec<InstanceId> = members
            .filter(|id| !self.is_proved(group, id) || self.machines[*id].leaving)
            .cloned()
            .collect();
        match (&group.state, missing.is_empty()) {
            (GroupState::Draining, true) => GroupState::Drained,
            (state, true) => state.clone(),
            (_, false) => GroupState::Broken { missing },
        }
    }

    /// Tells whether a member is up and has not lost its state since the epoch began.
    pub(crate) fn is_proved(&self, group: &GroupRecord, id: &InstanceId) -> bool {
        let machine = &self.machines[id];
        machine.up && group.is_incarnation(id, machine.incarnation)
    }

    /// Returns the groups that serve.
    pub(crate) fn serving(&self) -> Vec<&GroupRecord> {
        let groups = self.roster.groups.iter();
        groups
            .filter(|group| group.state == GroupState::Intact)
            .filter(|group| self.fleet.zone_is_in(&group.zone))
            .filter(|group| group.members.iter().all(|id| self.is_proved(group, id)))
            .collect()
    }

    /// Returns the number of groups that the usable instances could form.
    pub(crate) fn capacity(&self) -> usize {
        let size = self.size();
        let mut domains: BTreeMap<&FabricDomainId, usize> = BTreeMap::new();
        for machine in self.machines.values() {
            let usable = machine.up && !machine.leaving && self.fleet.zone_is_in(&machine.zone);
            *domains.entry(&machine.domain).or_default() += usize::from(usable);
        }
        domains.values().map(|count| count / size).sum()
    }

    pub(crate) fn size(&self) -> usize {
        self.fleet.services[0].members_per_replica.get() as usize
    }

    /// Stops an instance, or starts it anew without its state.
    pub(crate) fn set_up(&mut self, id: &InstanceId, up: bool) {
        let machine = self.machines.get_mut(id).unwrap();
        if up && !machine.up {
            machine.incarnation = machine.incarnation.next();
            machine.holds_weights = false;
        }
        machine.up = up;
    }

    /// Checks what must hold at any moment.
    pub(crate) fn check(&self) {
        let mut members = BTreeMap::new();
        let mut epochs = BTreeSet::new();
        for group in &self.roster.groups {
            for id in &group.members {
                let other = members.insert(id.clone(), group.id.clone());
                assert_eq!(other, None, "{id} is in {} and another group", group.id);
                assert_eq!(self.machines[id].domain, group.domain);
                assert_eq!(self.machines[id].zone, group.zone);
                assert!(group.incarnations.contains_key(id));
            }
            assert_eq!(group.incarnations.len(), group.members.len());
            assert!(epochs.insert(group.epoch), "an epoch is used twice");
            assert!(group.epoch <= self.roster.next_epoch);
        }
        assert_eq!(members, self.rows, "the rows say what the roster says");
    }
}
