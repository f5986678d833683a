//! Instances that work far more slowly than they should: a group is as slow as its slowest member.

use cuminlb_types::prelude::*;

use super::engine_world::{EngineWorld, Fate};
use super::model_engine::ModelEngine;

/// How many times longer a straggler takes.
const SLOWDOWN: f64 = 8.0;

fn steps(world: &mut EngineWorld, steps: usize) {
    for _ in 0..steps {
        world.look(&[]);
        world.step(|| Fate::Delivered);
    }
}

fn settled() -> EngineWorld {
    let mut world = EngineWorld::new(2, 8);
    steps(&mut world, 60);
    world
}

fn open_head(world: &EngineWorld) -> &ModelEngine {
    let mut engines = world.engines.values();
    engines.find(|engine| engine.is_open()).unwrap()
}

fn members_of_open_groups(world: &EngineWorld) -> Vec<InstanceId> {
    let open = world.engines.values().filter(|engine| engine.is_open());
    open.flat_map(|head| head.place.as_ref().unwrap().members.clone())
        .collect()
}

#[test]
fn a_straggler_is_replaced_by_a_spare() {
    for rank in 0..2 {
        let mut world = settled();
        let before = world.serving();
        let straggler = open_head(&world).place.as_ref().unwrap().members[rank].clone();
        world.set_slowdown(&straggler, SLOWDOWN);
        steps(&mut world, 10);
        assert_eq!(world.serving(), before, "rank {rank}");
        assert!(!members_of_open_groups(&world).contains(&straggler));
    }
}

#[test]
fn a_straggler_stays_where_nothing_could_replace_it() {
    let mut world = settled();
    let head = open_head(&world);
    let (domain, straggler) = (head.domain, head.place.as_ref().unwrap().members[1].clone());
    let busy = members_of_open_groups(&world);
    let spares = world.engines.values();
    let spares = spares.filter(|it| it.domain == domain && !busy.contains(&it.id));
    let spares: Vec<InstanceId> = spares.map(|it| it.id.clone()).collect();
    for spare in &spares {
        world.kill(spare);
        world.probe(spare);
    }
    let before = world.serving();
    world.set_slowdown(&straggler, SLOWDOWN);
    steps(&mut world, 10);
    assert_eq!(world.serving(), before);
    assert!(members_of_open_groups(&world).contains(&straggler));
}

#[test]
fn an_instance_that_is_merely_busy_stays() {
    let mut world = settled();
    let member = open_head(&world).place.as_ref().unwrap().members[1].clone();
    world.set_slowdown(&member, 1.2);
    let orders = world.orders_given();
    steps(&mut world, 10);
    assert_eq!(world.orders_given(), orders);
}

#[test]
fn a_straggler_that_has_recovered_is_used_again() {
    let mut world = settled();
    let straggler = open_head(&world).place.as_ref().unwrap().members[1].clone();
    world.set_slowdown(&straggler, SLOWDOWN);
    steps(&mut world, 10);
    world.set_slowdown(&straggler, 1.0);
    let others = members_of_open_groups(&world);
    for other in others.iter().take(2) {
        world.kill(other);
        world.probe(other);
    }
    steps(&mut world, 60);
    let place = world.engines[&straggler].place.as_ref();
    assert!(place.is_some(), "it was given no part");
}
