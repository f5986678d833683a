//! The decisions of the planner in single situations.

use cuminlb_fleet::planning::{PlanInput, PlanStep, choose_spares};
use cuminlb_fleet::rows::GroupState;
use cuminlb_types::prelude::*;

use crate::simulation::{Simulation, fleet};

/// The weights of group downtime, stranded accelerators and zone changes.
const EQUAL_WEIGHTS: [f64; 3] = [1.0, 1.0, 1.0];

fn id(text: &str) -> InstanceId {
    text.parse().unwrap()
}

fn stop_instances(sim: &mut Simulation, instances: &[&str]) {
    for instance in instances {
        sim.set_running(&id(instance), false);
    }
    sim.report_as_owners();
}

fn members(step: &PlanStep) -> Vec<&str> {
    match step {
        PlanStep::Form { members, .. } | PlanStep::Repair { members, .. } => members
            .iter()
            .map(|member| member.instance.as_str())
            .collect(),
        PlanStep::Drain { .. } | PlanStep::Dissolve { .. } => Vec::new(),
    }
}

#[test]
fn spare_of_the_domain_repairs_a_group() {
    let mut sim = Simulation::new(
        fleet(1, 2, EQUAL_WEIGHTS, &[]),
        &[("a", "lami", 3), ("b", "nasese", 2)],
    );
    sim.plan_and_execute();
    let group = sim.roster.groups[0].clone();
    assert_eq!(
        group.domain.as_str(),
        "a",
        "the domain with a spare is chosen"
    );
    stop_instances(&mut sim, &[group.members[0].as_str()]);
    let steps = sim.plan_and_execute();
    assert_eq!(steps.len(), 1);
    assert!(matches!(&steps[0], PlanStep::Repair { .. }), "{steps:?}");
    assert_eq!(sim.roster.groups[0].id, group.id);
    assert!(sim.roster.groups[0].epoch > group.epoch);
    assert!(sim.roster.groups[0].members.contains(&group.members[1]));
    sim.check();
}

#[test]
fn unresponsive_instance_that_is_still_listed_is_not_a_spare() {
    let mut sim = Simulation::new(fleet(1, 2, EQUAL_WEIGHTS, &[]), &[("a", "lami", 3)]);
    sim.plan_and_execute();
    let member = sim.roster.groups[0].members[0].clone();
    sim.set_running(&id("a-2"), false);
    stop_instances(&mut sim, &[member.as_str()]);
    let steps = sim.plan_and_execute();
    assert!(
        matches!(steps[..], [PlanStep::Dissolve { .. }]),
        "{steps:?}"
    );
    assert!(
        sim.plan(usize::MAX).is_empty(),
        "one instance can't form a group of two"
    );
}

#[test]
fn without_spares_one_broken_group_is_dissolved_to_repair_another() {
    let mut sim = Simulation::new(fleet(2, 4, EQUAL_WEIGHTS, &[]), &[("a", "lami", 8)]);
    sim.plan_and_execute();
    let [first, second] = [0, 1].map(|index| sim.roster.groups[index].clone());
    stop_instances(
        &mut sim,
        &[
            first.members[0].as_str(),
            second.members[0].as_str(),
            second.members[1].as_str(),
        ],
    );
    let steps = sim.plan_and_execute();
    assert!(
        matches!(&steps[..],
            [PlanStep::Dissolve { group: dissolved, .. }, PlanStep::Repair { group, .. }]
            if *dissolved == second.id && *group == first.id),
        "{steps:?}"
    );
    assert_eq!(sim.serving().len(), 1);
    sim.check();
}

#[test]
fn restarted_member_ends_the_epoch_and_may_rejoin() {
    let mut sim = Simulation::new(fleet(1, 2, EQUAL_WEIGHTS, &[]), &[("a", "lami", 2)]);
    sim.plan_and_execute();
    let before = sim.roster.groups[0].clone();
    sim.set_running(&before.members[0], false);
    sim.set_running(&before.members[0], true);
    assert!(sim.serving().is_empty(), "the member has lost its state");
    sim.report_as_owners();
    sim.plan_and_execute();
    let after = &sim.roster.groups[0];
    assert_eq!(after.members, before.members);
    assert!(after.epoch > before.epoch);
    assert_eq!(sim.serving().len(), 1);
}

#[test]
fn spare_with_weights_is_preferred() {
    let mut sim = Simulation::new(fleet(1, 2, EQUAL_WEIGHTS, &[]), &[("a", "lami", 4)]);
    sim.plan_and_execute();
    let group = sim.roster.groups[0].clone();
    let spares: Vec<InstanceId> = sim
        .instances
        .keys()
        .filter(|id| !group.members.contains(id))
        .cloned()
        .collect();
    for spare in spares {
        sim.instances.get_mut(&spare).unwrap().holds_weights = true;
        let mut trial = sim.clone();
        stop_instances(&mut trial, &[group.members[0].as_str()]);
        let steps = trial.plan(usize::MAX);
        assert!(members(&steps[0]).contains(&spare.as_str()), "{steps:?}");
        sim.instances.get_mut(&spare).unwrap().holds_weights = false;
    }
}

#[test]
fn steps_with_fewest_loads_come_first_within_the_budget() {
    let domains = [("a", "lami", 4), ("b", "nasese", 4), ("c", "lami", 4)];
    let mut sim = Simulation::new(fleet(3, 4, EQUAL_WEIGHTS, &[]), &domains);
    for instance in ["b-0", "b-1", "b-2", "c-0"] {
        sim.instances.get_mut(&id(instance)).unwrap().holds_weights = true;
    }
    let domain = |step: &PlanStep| members(step)[0][..1].to_owned();
    let order: Vec<String> = sim.plan(usize::MAX).iter().map(domain).collect();
    assert_eq!(order, ["b", "c", "a"]);
    let order: Vec<String> = sim.plan(1).iter().map(domain).collect();
    assert_eq!(order, ["b"]);
    let order: Vec<String> = sim.plan(2).iter().map(domain).collect();
    assert_eq!(
        order,
        ["b", "c"],
        "after one load for b, one remains for c, whose loads may exceed the budget"
    );
    assert!(sim.plan(0).is_empty());
}

#[test]
fn zone_that_is_out_keeps_its_groups_and_other_zones_form_more() {
    let domains = [("a", "lami", 4), ("b", "nasese", 4)];
    let mut sim = Simulation::new(fleet(2, 2, EQUAL_WEIGHTS, &[]), &domains);
    sim.plan_and_execute();
    let zones = |sim: &Simulation| {
        let mut zones: Vec<String> = sim.serving().iter().map(|g| g.zone.to_string()).collect();
        zones.sort();
        zones
    };
    assert_eq!(
        zones(&sim),
        ["lami", "nasese"],
        "groups are spread over the zones"
    );
    sim.fleet = fleet(2, 2, EQUAL_WEIGHTS, &["lami"]);
    sim.plan_and_execute();
    assert_eq!(zones(&sim), ["nasese", "nasese"]);
    assert_eq!(
        sim.roster.groups.len(),
        3,
        "the group of the zone that is out is kept for its requests in flight"
    );
    sim.fleet = fleet(2, 2, EQUAL_WEIGHTS, &[]);
    let steps = sim.plan_and_execute();
    assert!(matches!(steps[..], [PlanStep::Drain { .. }]), "{steps:?}");
    assert_eq!(zones(&sim), ["lami", "nasese"]);
    sim.report_as_owners();
    sim.plan_and_execute();
    assert_eq!(sim.roster.groups.len(), 2);
    sim.check();
}

#[test]
fn weights_decide_between_a_spare_and_spreading_over_zones() {
    let domains = [("a", "lami", 5), ("b", "nasese", 2)];
    for (weights, expected) in [([9.0, 1.0, 1.0], "lami"), ([1.0, 1.0, 9.0], "nasese")] {
        let mut sim = Simulation::new(fleet(1, 2, weights, &[]), &domains);
        sim.plan_and_execute();
        sim.fleet = fleet(2, 2, weights, &[]);
        sim.plan_and_execute();
        assert_eq!(sim.roster.groups[1].zone.as_str(), expected, "{weights:?}");
    }
}

#[test]
fn domain_that_keeps_a_spare_remainder_is_preferred() {
    let domains = [("a", "lami", 4), ("b", "lami", 5)];
    let mut sim = Simulation::new(fleet(1, 4, EQUAL_WEIGHTS, &[]), &domains);
    sim.plan_and_execute();
    assert_eq!(sim.roster.groups[0].domain.as_str(), "b");
}

#[test]
fn stale_step_has_no_effect() {
    let mut sim = Simulation::new(fleet(1, 2, EQUAL_WEIGHTS, &[]), &[("a", "lami", 4)]);
    sim.plan_and_execute();
    let member = sim.roster.groups[0].members[0].clone();
    stop_instances(&mut sim, &[member.as_str()]);
    let stale = sim.plan(usize::MAX);
    sim.plan_and_execute();
    assert_eq!(sim.roster.groups[0].state, GroupState::Intact);
    let before = sim.roster.clone();
    assert!(!sim.execute(&stale[0]));
    assert_eq!(sim.roster, before);

    let member = sim.roster.groups[0].members[1].clone();
    stop_instances(&mut sim, &[member.as_str()]);
    let broken = sim.roster.clone();
    assert!(
        !sim.execute(&stale[0]),
        "the group is broken again, but at a later epoch"
    );
    assert_eq!(sim.roster, broken);
}

#[test]
fn order_of_a_later_group_has_a_higher_fencing_number() {
    let mut sim = Simulation::new(fleet(2, 1, EQUAL_WEIGHTS, &[]), &[("a", "lami", 2)]);
    sim.plan_and_execute();
    let [first, second] = &sim.roster.groups[..] else {
        panic!("expected two groups");
    };
    let early = first.order_fencing(FencingNumber(900));
    assert!(second.order_fencing(FencingNumber(1)) > early);
    assert!(first.order_fencing(FencingNumber(901)) > early);
}

#[test]
fn spares_load_in_domains_with_groups_and_fewest_loaded_spares_first() {
    let domains = [("a", "lami", 4), ("b", "nasese", 3), ("c", "nasese", 1)];
    let mut sim = Simulation::new(fleet(2, 2, EQUAL_WEIGHTS, &[]), &domains);
    sim.plan_and_execute();
    let choose = |sim: &Simulation, load_budget| {
        choose_spares(&PlanInput {
            fleet: &sim.fleet,
            service: &sim.fleet.services[0],
            roster: &sim.roster,
            candidates: &sim.candidates(),
            load_budget,
        })
    };
    let domains = |spares: Vec<InstanceId>| {
        let domains = spares.iter().map(|spare| spare.as_str()[..1].to_owned());
        domains.collect::<Vec<_>>()
    };
    assert_eq!(domains(choose(&sim, 9)), ["a", "b", "a"], "c has no group");
    assert_eq!(domains(choose(&sim, 2)), ["a", "b"]);
    let first = choose(&sim, 1).remove(0);
    sim.instances.get_mut(&first).unwrap().holds_weights = true;
    assert_eq!(domains(choose(&sim, 9)), ["b", "a"]);
}
