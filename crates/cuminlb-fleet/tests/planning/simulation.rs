//! An in-memory model of the instances, the groups and the rows of the table.

use std::collections::{BTreeMap, BTreeSet};

use cuminlb_config::FleetSpec;
use cuminlb_fleet::planning::{Candidate, PlanInput, PlanStep, RosterChange, plan_groups};
use cuminlb_fleet::rows::{GroupRecord, GroupState, Roster};
use cuminlb_types::prelude::*;

/// The true state of an instance, which may differ from what planners and owners know.
#[derive(Clone, Debug)]
pub(crate) struct SimInstance {
    pub(crate) zone: ZoneId,
    pub(crate) domain: FabricDomainId,
    pub(crate) is_up: bool,
    pub(crate) is_leaving: bool,
    pub(crate) incarnation: Incarnation,
    pub(crate) holds_weights: bool,
}

/// A small fleet with one service, named `m`.
#[derive(Clone, Debug)]
pub(crate) struct Simulation {
    pub(crate) fleet: FleetSpec,
    pub(crate) instances: BTreeMap<InstanceId, SimInstance>,
    pub(crate) roster: Roster,
    /// The instance rows: the group that each instance is in.
    pub(crate) instance_rows: BTreeMap<InstanceId, GroupId>,
}

/// Returns a fleet file with two availability zones, one service and the given weights of the
/// planner's measures.
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

impl Simulation {
    /// Creates instances named `DOMAIN-N`; each domain has a name, an availability zone and a size.
    pub(crate) fn new(fleet: FleetSpec, domains: &[(&str, &str, usize)]) -> Self {
        let mut instances = BTreeMap::new();
        for (domain, zone, size) in domains {
            for number in 0..*size {
                let instance = SimInstance {
                    zone: zone.parse().unwrap(),
                    domain: domain.parse().unwrap(),
                    is_up: true,
                    is_leaving: false,
                    incarnation: Incarnation(1),
                    holds_weights: false,
                };
                instances.insert(format!("{domain}-{number}").parse().unwrap(), instance);
            }
        }
        Self {
            fleet,
            instances,
            roster: Roster::default(),
            instance_rows: BTreeMap::new(),
        }
    }

    /// Returns the candidates as a planner that probes the instances knows them.
    pub(crate) fn candidates(&self) -> Vec<Candidate> {
        let candidates = self.instances.iter().map(|(id, instance)| Candidate {
            instance: id.clone(),
            incarnation: instance.incarnation,
            zone: instance.zone.clone(),
            domain: instance.domain.clone(),
            accelerators: AcceleratorCount(8),
            usable: self.is_usable(id, instance),
            holds_weights: instance.holds_weights,
        });
        candidates.collect()
    }

    /// Returns whether a planner considers an instance usable. It does not probe members that no
    /// owner has reported missing.
    fn is_usable(&self, id: &InstanceId, instance: &SimInstance) -> bool {
        let mut groups = self.roster.groups.iter();
        let is_proved =
            groups.any(|group| group.members.contains(id) && !group.state.missing().contains(id));
        (instance.is_up || is_proved)
            && !instance.is_leaving
            && self.fleet.zone_is_in(&instance.zone)
    }

    /// Returns the steps of one plan.
    pub(crate) fn plan(&self, load_budget: usize) -> Vec<PlanStep> {
        plan_groups(&PlanInput {
            fleet: &self.fleet,
            service: &self.fleet.services[0],
            roster: &self.roster,
            candidates: &self.candidates(),
            load_budget,
        })
    }

    /// Executes one step as the table does: atomically, or not at all if a row is not as expected.
    /// Returns whether the step was executed.
    pub(crate) fn execute(&mut self, step: &PlanStep) -> bool {
        let service = &self.fleet.services[0].id;
        let Some(change) = RosterChange::of(service, &self.roster, step) else {
            return false;
        };
        if change
            .joined
            .iter()
            .any(|id| self.instance_rows.contains_key(id))
        {
            return false;
        }
        for id in &change.freed {
            self.instance_rows
                .retain(|row, group| row != id || *group != change.group.id);
        }
        for id in &change.joined {
            self.instance_rows
                .insert(id.clone(), change.group.id.clone());
            if let Some(instance) = self.instances.get_mut(id) {
                instance.holds_weights = instance.is_up;
            }
        }
        self.roster = change.roster;
        true
    }

    /// Plans, executes every step and returns the steps.
    pub(crate) fn plan_and_execute(&mut self) -> Vec<PlanStep> {
        let steps = self.plan(usize::MAX);
        for step in &steps {
            self.execute(step);
        }
        steps
    }

    /// Updates the state of each group as its owner would report it.
    pub(crate) fn report_as_owners(&mut self) {
        for group in self.roster.groups.clone() {
            let state = self.reported_state(&group);
            let change = RosterChange::change_state(&self.roster, &group.id, group.epoch, state);
            if let Some(change) = change {
                self.roster = change.roster;
            }
        }
    }

    fn reported_state(&self, group: &GroupRecord) -> GroupState {
        let members = group.members.iter();
        let missing: Vec<InstanceId> = members
            .filter(|id| !self.is_proved(group, id) || self.instances[*id].is_leaving)
            .cloned()
            .collect();
        match (&group.state, missing.is_empty()) {
            (GroupState::Draining, true) => GroupState::Drained,
            (state, true) => state.clone(),
            (_, false) => GroupState::Broken { missing },
        }
    }

    /// Returns whether a member is up and has not restarted, and so lost its state, since the start
    /// of the epoch.
    pub(crate) fn is_proved(&self, group: &GroupRecord, id: &InstanceId) -> bool {
        let instance = &self.instances[id];
        instance.is_up && group.has_incarnation(id, instance.incarnation)
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
        let size = self.group_size();
        let mut domains: BTreeMap<&FabricDomainId, usize> = BTreeMap::new();
        for instance in self.instances.values() {
            let usable =
                instance.is_up && !instance.is_leaving && self.fleet.zone_is_in(&instance.zone);
            *domains.entry(&instance.domain).or_default() += usize::from(usable);
        }
        domains.values().map(|count| count / size).sum()
    }

    pub(crate) fn group_size(&self) -> usize {
        self.fleet.services[0].members_per_replica.get() as usize
    }

    /// Stops an instance, or restarts it without its state.
    pub(crate) fn set_running(&mut self, id: &InstanceId, is_up: bool) {
        let instance = self.instances.get_mut(id).unwrap();
        if is_up && !instance.is_up {
            instance.incarnation = instance.incarnation.next();
            instance.holds_weights = false;
        }
        instance.is_up = is_up;
    }

    /// Checks the invariants that must always hold.
    ///
    /// # Panics
    ///
    /// Panics if an invariant is violated.
    pub(crate) fn check(&self) {
        let mut members = BTreeMap::new();
        let mut epochs = BTreeSet::new();
        for group in &self.roster.groups {
            for id in &group.members {
                let other = members.insert(id.clone(), group.id.clone());
                assert_eq!(other, None, "{id} is in {} and another group", group.id);
                assert_eq!(self.instances[id].domain, group.domain);
                assert_eq!(self.instances[id].zone, group.zone);
                assert!(group.incarnations.contains_key(id));
            }
            assert_eq!(group.incarnations.len(), group.members.len());
            assert!(epochs.insert(group.epoch), "an epoch is used by two groups");
            assert!(group.epoch <= self.roster.next_epoch);
        }
        assert_eq!(
            members, self.instance_rows,
            "the instance rows match the roster"
        );
    }
}
