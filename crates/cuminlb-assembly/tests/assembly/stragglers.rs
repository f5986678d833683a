//! Replacement of stragglers: a group is as slow as its slowest member.

use cuminlb_types::prelude::*;

use super::simulated_engine::SimulatedEngine;
use super::simulation::{ClusterSimulation, Delivery};

/// The time that a straggler takes, as a multiple of the normal time.
const SLOWDOWN: f64 = 8.0;

fn run_steps(simulation: &mut ClusterSimulation, steps: usize) {
    for _ in 0..steps {
        simulation.refresh_entries(&[]);
        simulation.step(|| Delivery::Delivered);
    }
}

fn settled_simulation() -> ClusterSimulation {
    let mut simulation = ClusterSimulation::new(2, 8);
    run_steps(&mut simulation, 60);
    simulation
}

fn open_head(simulation: &ClusterSimulation) -> &SimulatedEngine {
    let mut engines = simulation.engines.values();
    engines.find(|engine| engine.is_open()).unwrap()
}

fn members_of_open_groups(simulation: &ClusterSimulation) -> Vec<InstanceId> {
    let open = simulation
        .engines
        .values()
        .filter(|engine| engine.is_open());
    open.flat_map(|head| head.membership.as_ref().unwrap().members.clone())
        .collect()
}

#[test]
fn a_straggler_is_replaced_by_a_spare() {
    for rank in 0..2 {
        let mut simulation = settled_simulation();
        let before = simulation.serving();
        let straggler = open_head(&simulation).membership.as_ref().unwrap().members[rank].clone();
        simulation.set_slowdown(&straggler, SLOWDOWN);
        run_steps(&mut simulation, 10);
        assert_eq!(simulation.serving(), before, "rank {rank}");
        assert!(!members_of_open_groups(&simulation).contains(&straggler));
    }
}

#[test]
fn a_straggler_stays_if_no_spare_can_replace_it() {
    let mut simulation = settled_simulation();
    let head = open_head(&simulation);
    let (domain, straggler) = (
        head.domain,
        head.membership.as_ref().unwrap().members[1].clone(),
    );
    let serving = members_of_open_groups(&simulation);
    let spares = simulation.engines.values();
    let spares = spares.filter(|engine| engine.domain == domain && !serving.contains(&engine.id));
    let spares: Vec<InstanceId> = spares.map(|engine| engine.id.clone()).collect();
    for spare in &spares {
        simulation.kill(spare);
        simulation.probe(spare);
    }
    let before = simulation.serving();
    simulation.set_slowdown(&straggler, SLOWDOWN);
    run_steps(&mut simulation, 10);
    assert_eq!(simulation.serving(), before);
    assert!(members_of_open_groups(&simulation).contains(&straggler));
}

#[test]
fn a_slightly_slow_instance_stays() {
    let mut simulation = settled_simulation();
    let member = open_head(&simulation).membership.as_ref().unwrap().members[1].clone();
    simulation.set_slowdown(&member, 1.2);
    let orders = simulation.orders_sent();
    run_steps(&mut simulation, 10);
    assert_eq!(simulation.orders_sent(), orders);
}

#[test]
fn a_recovered_straggler_is_used_again() {
    let mut simulation = settled_simulation();
    let straggler = open_head(&simulation).membership.as_ref().unwrap().members[1].clone();
    simulation.set_slowdown(&straggler, SLOWDOWN);
    run_steps(&mut simulation, 10);
    simulation.set_slowdown(&straggler, 1.0);
    let others = members_of_open_groups(&simulation);
    for other in others.iter().take(2) {
        simulation.kill(other);
        simulation.probe(other);
    }
    run_steps(&mut simulation, 60);
    let membership = simulation.engines[&straggler].membership.as_ref();
    assert!(membership.is_some(), "the recovered instance has no seat");
}
