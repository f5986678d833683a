//! What a plan decides in situations that an operator would ask about.

use cuminlb_fleet::planning::PlanStep;
use cuminlb_fleet::rows::GroupState;
use cuminlb_types::prelude::*;

use crate::world::{World, fleet};

const EVEN: [f64; 3] = [1.0, 1.0, 1.0];

fn id(text: &str) -> InstanceId {
    text.parse().unwrap()
}

fn down(world: &mut World, instances: &[&str]) {
    for instance in instances {
        world.set_up(&id(instance), false);
    }
    world.owners_report();
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
fn a_spare_of_the_domain_repairs_a_group() {
    let mut world = World::new(
        fleet(1, 2, EVEN, &[]),
        &[("a", "lami", 3), ("b", "nasese", 2)],
    );
    world.plan_and_carry_out();
    let group = world.roster.groups[0].clone();
    assert_eq!(
        group.domain.as_str(),
        "a",
        "the domain with a spare is chosen"
    );
    down(&mut world, &[group.members[0].as_str()]);
    let steps = world.plan_and_carry_out();
    assert_eq!(steps.len(), 1);
    assert!(matches!(&steps[0], PlanStep::Repair { .. }), "{steps:?}");
    assert_eq!(world.roster.groups[0].id, group.id);
    assert!(world.roster.groups[0].epoch > group.epoch);
    assert!(world.roster.groups[0].members.contains(&group.members[1]));
    world.check();
}

#[test]
fn a_dead_instance_that_is_still_listed_is_no_spare() {
    let mut world = World::new(fleet(1, 2, EVEN, &[]), &[("a", "lami", 3)]);
    world.plan_and_carry_out();
    let member = world.roster.groups[0].members[0].clone();
    world.set_up(&id("a-2"), false);
    down(&mut world, &[member.as_str()]);
    let steps = world.plan_and_carry_out();
    assert!(
        matches!(steps[..], [PlanStep::Dissolve { .. }]),
        "{steps:?}"
    );
    assert!(
        world.plan(usize::MAX).is_empty(),
        "one instance forms no group of two"
    );
}

#[test]
fn without_spares_one_broken_group_repairs_the_other() {
    let mut world = World::new(fleet(2, 4, EVEN, &[]), &[("a", "lami", 8)]);
    world.plan_and_carry_out();
    let [first, second] = [0, 1].map(|at| world.roster.groups[at].clone());
    down(
        &mut world,
        &[
            first.members[0].as_str(),
            second.members[0].as_str(),
            second.members[1].as_str(),
        ],
    );
    let steps = world.plan_and_carry_out();
    assert!(
        matches!(&steps[..], [PlanStep::Dissolve { group: donor, .. }, PlanStep::Repair { group, .. }]
            if *donor == second.id && *group == first.id),
        "{steps:?}"
    );
    assert_eq!(world.serving().len(), 1);
    world.check();
}

#[test]
fn a_restarted_member_ends_the_epoch_and_may_come_back() {
    let mut world = World::new(fleet(1, 2, EVEN, &[]), &[("a", "lami", 2)]);
    world.plan_and_carry_out();
    let before = world.roster.groups[0].clone();
    world.set_up(&before.members[0], false);
    world.set_up(&before.members[0], true);
    assert!(world.serving().is_empty(), "the member has lost its state");
    world.owners_report();
    world.plan_and_carry_out();
    let after = &world.roster.groups[0];
    assert_eq!(after.members, before.members);
    assert!(after.epoch > before.epoch);
    assert_eq!(world.serving().len(), 1);
}

#[test]
fn a_spare_with_weights_goes_before_one_without() {
    let mut world = World::new(fleet(1, 2, EVEN, &[]), &[("a", "lami", 4)]);
    world.plan_and_carry_out();
    let group = world.roster.groups[0].clone();
    let spares: Vec<InstanceId> = world
        .machines
        .keys()
        .filter(|id| !group.members.contains(id))
        .cloned()
        .collect();
    for spare in spares {
        world.machines.get_mut(&spare).unwrap().holds_weights = true;
        let mut trial = world.clone();
        down(&mut trial, &[group.members[0].as_str()]);
        let steps = trial.plan(usize::MAX);
        assert!(members(&steps[0]).contains(&spare.as_str()), "{steps:?}");
        world.machines.get_mut(&spare).unwrap().holds_weights = false;
    }
}

#[test]
fn what_loads_least_comes_first_and_the_budget_holds() {
    let domains = [("a", "lami", 4), ("b", "nasese", 4), ("c", "lami", 4)];
    let mut world = World::new(fleet(3, 4, EVEN, &[]), &domains);
    for instance in ["b-0", "b-1", "b-2", "c-0"] {
        world.machines.get_mut(&id(instance)).unwrap().holds_weights = true;
    }
    let domain = |step: &PlanStep| members(step)[0][..1].to_owned();
    let order: Vec<String> = world.plan(usize::MAX).iter().map(domain).collect();
    assert_eq!(order, ["b", "c", "a"]);
    let order: Vec<String> = world.plan(1).iter().map(domain).collect();
    assert_eq!(order, ["b"]);
    assert!(world.plan(0).is_empty());
}

#[test]
fn a_zone_that_is_out_keeps_its_groups_and_others_take_over() {
    let domains = [("a", "lami", 4), ("b", "nasese", 4)];
    let mut world = World::new(fleet(2, 2, EVEN, &[]), &domains);
    world.plan_and_carry_out();
    let zones = |world: &World| {
        let mut zones: Vec<String> = world.serving().iter().map(|g| g.zone.to_string()).collect();
        zones.sort();
        zones
    };
    assert_eq!(
        zones(&world),
        ["lami", "nasese"],
        "groups are spread over the zones"
    );
    world.fleet = fleet(2, 2, EVEN, &["lami"]);
    world.plan_and_carry_out();
    assert_eq!(zones(&world), ["nasese", "nasese"]);
    assert_eq!(world.roster.groups.len(), 3, "what is in flight can end");
    world.fleet = fleet(2, 2, EVEN, &[]);
    let steps = world.plan_and_carry_out();
    assert!(matches!(steps[..], [PlanStep::Drain { .. }]), "{steps:?}");
    assert_eq!(zones(&world), ["lami", "nasese"]);
    world.owners_report();
    world.plan_and_carry_out();
    assert_eq!(world.roster.groups.len(), 2);
    world.check();
}

#[test]
fn the_weights_decide_between_a_spare_and_spreading() {
    let domains = [("a", "lami", 5), ("b", "nasese", 2)];
    for (weights, expected) in [([9.0, 1.0, 1.0], "lami"), ([1.0, 1.0, 9.0], "nasese")] {
        let mut world = World::new(fleet(1, 2, weights, &[]), &domains);
        world.plan_and_carry_out();
        world.fleet = fleet(2, 2, weights, &[]);
        world.plan_and_carry_out();
        assert_eq!(
            world.roster.groups[1].zone.as_str(),
            expected,
            "{weights:?}"
        );
    }
}

#[test]
fn a_remainder_stands_beside_a_group() {
    let domains = [("a", "lami", 4), ("b", "lami", 5)];
    let mut world = World::new(fleet(1, 4, EVEN, &[]), &domains);
    world.plan_and_carry_out();
    assert_eq!(world.roster.groups[0].domain.as_str(), "b");
}

#[test]
fn a_stale_step_has_no_effect() {
    let mut world = World::new(fleet(1, 2, EVEN, &[]), &[("a", "lami", 4)]);
    world.plan_and_carry_out();
    let member = world.roster.groups[0].members[0].clone();
    down(&mut world, &[member.as_str()]);
    let stale = world.plan(usize::MAX);
    world.plan_and_carry_out();
    assert_eq!(world.roster.groups[0].state, GroupState::Intact);
    let before = world.roster.clone();
    assert!(!world.carry_out(&stale[0]));
    assert_eq!(world.roster, before);

    let member = world.roster.groups[0].members[1].clone();
    down(&mut world, &[member.as_str()]);
    let broken = world.roster.clone();
    assert!(
        !world.carry_out(&stale[0]),
        "the group is broken again, at a later epoch"
    );
    assert_eq!(world.roster, broken);
}

#[test]
fn an_order_of_a_later_group_has_a_higher_number() {
    let mut world = World::new(fleet(2, 1, EVEN, &[]), &[("a", "lami", 2)]);
    world.plan_and_carry_out();
    let [first, second] = &world.roster.groups[..] else {
        panic!("two groups");
    };
    let early = first.order_fencing(FencingNumber(900));
    assert!(second.order_fencing(FencingNumber(1)) > early);
    assert!(first.order_fencing(FencingNumber(901)) > early);
}
