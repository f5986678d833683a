//! Tests of single planning decisions.

use super::simulation::{ClusterSimulation, Delivery};

fn run_until_settled(simulation: &mut ClusterSimulation) {
    for _ in 0..60 {
        simulation.refresh_entries(&[]);
        simulation.step(|| Delivery::Delivered);
    }
}

#[test]
fn each_fabric_domain_gets_a_group_of_each_model() {
    let mut simulation = ClusterSimulation::new(3, 8);
    run_until_settled(&mut simulation);
    assert_eq!(simulation.serving(), 6);
}

#[test]
fn a_silent_member_is_replaced_by_a_spare() {
    let mut simulation = ClusterSimulation::new(2, 8);
    run_until_settled(&mut simulation);
    let before = simulation.serving();
    let head = simulation
        .engines
        .values()
        .find(|engine| engine.is_open())
        .unwrap();
    let member = head.membership.as_ref().unwrap().members[1].clone();
    simulation.kill(&member);
    simulation.probe(&member);
    for _ in 0..8 {
        simulation.refresh_entries(&[]);
        simulation.step(|| Delivery::Delivered);
    }
    assert_eq!(simulation.serving(), before);
}

#[test]
fn a_group_keeps_its_name_when_its_head_becomes_silent() {
    let mut simulation = ClusterSimulation::new(2, 8);
    run_until_settled(&mut simulation);
    let head = simulation
        .engines
        .values()
        .find(|engine| engine.is_open())
        .unwrap();
    let (head, membership) = (head.id.clone(), head.membership.clone().unwrap());
    simulation.kill(&head);
    simulation.probe(&head);
    for _ in 0..8 {
        simulation.refresh_entries(&[]);
        simulation.step(|| Delivery::Delivered);
    }
    let serves_again = simulation.engines.values().any(|engine| {
        let current = engine.membership.as_ref();
        engine.is_alive
            && engine.is_open()
            && current.is_some_and(|current| {
                current.seat.group == membership.seat.group
                    && current.seat.epoch > membership.seat.epoch
            })
    });
    assert!(serves_again);
}

#[test]
fn a_new_leader_keeps_existing_groups() {
    let mut simulation = ClusterSimulation::new(2, 8);
    run_until_settled(&mut simulation);
    let memberships: Vec<_> = simulation
        .engines
        .values()
        .map(|engine| engine.membership.clone())
        .collect();
    simulation.change_leader();
    let serving_before = simulation.serving();
    for _ in 0..10 {
        simulation.refresh_entries(&[]);
        simulation.step(|| Delivery::Delivered);
    }
    let is_serving = |membership: &Option<super::simulated_engine::Membership>| {
        membership
            .as_ref()
            .is_some_and(|membership| membership.members.len() > 1)
    };
    let after: Vec<_> = simulation
        .engines
        .values()
        .map(|engine| engine.membership.clone())
        .collect();
    for (before, after) in memberships
        .iter()
        .zip(&after)
        .filter(|(before, _)| is_serving(before))
    {
        assert_eq!(before, after);
    }
    assert_eq!(simulation.serving(), serving_before);
}

/// Guards against a retry loop: an instance whose process has ended refuses every connection
/// immediately, long before its entry is removed.
#[test]
fn an_unreachable_instance_is_not_retried_immediately() {
    let mut simulation = ClusterSimulation::new(2, 8);
    run_until_settled(&mut simulation);
    let head = simulation
        .engines
        .values()
        .find(|engine| engine.is_open())
        .unwrap();
    let members = head.membership.as_ref().unwrap().members.clone();
    let spares: Vec<_> = simulation
        .engines
        .values()
        .filter(|engine| {
            engine
                .membership
                .as_ref()
                .is_some_and(|membership| membership.members.len() == 1)
        })
        .map(|engine| engine.id.clone())
        .collect();
    for spare in &spares {
        simulation.kill(spare);
    }
    simulation.kill(&members[1]);
    simulation.probe(&members[1]);
    let before = simulation.orders_sent();
    for _ in 0..20 {
        simulation.refresh_entries(&[]);
        simulation.step(|| Delivery::Delivered);
    }
    let sent = simulation.orders_sent() - before;
    assert!(sent <= 20, "{sent} orders sent");
}
