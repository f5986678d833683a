//! Single decisions about groups.

use super::engine_world::{EngineWorld, Fate};

fn settle(world: &mut EngineWorld) {
    for _ in 0..60 {
        world.look(&[]);
        world.step(|| Fate::Delivered);
    }
}

#[test]
fn each_part_of_the_fabric_gets_a_group_of_each_model() {
    let mut world = EngineWorld::new(3, 8);
    settle(&mut world);
    assert_eq!(world.serving(), 6);
}

#[test]
fn a_silent_member_is_replaced_by_a_spare() {
    let mut world = EngineWorld::new(2, 8);
    settle(&mut world);
    let before = world.serving();
    let head = world
        .engines
        .values()
        .find(|engine| engine.is_open())
        .unwrap();
    let member = head.place.as_ref().unwrap().members[1].clone();
    world.kill(&member);
    world.probe(&member);
    for _ in 0..8 {
        world.look(&[]);
        world.step(|| Fate::Delivered);
    }
    assert_eq!(world.serving(), before);
}

#[test]
fn a_group_keeps_its_name_when_its_head_falls_silent() {
    let mut world = EngineWorld::new(2, 8);
    settle(&mut world);
    let head = world
        .engines
        .values()
        .find(|engine| engine.is_open())
        .unwrap();
    let (head, place) = (head.id.clone(), head.place.clone().unwrap());
    world.kill(&head);
    world.probe(&head);
    for _ in 0..8 {
        world.look(&[]);
        world.step(|| Fate::Delivered);
    }
    let serves_again = world.engines.values().any(|engine| {
        let at = engine.place.as_ref();
        engine.is_alive
            && engine.is_open()
            && at.is_some_and(|at| {
                at.seat.group == place.seat.group && at.seat.epoch > place.seat.epoch
            })
    });
    assert!(serves_again);
}

#[test]
fn a_new_leader_keeps_the_groups_that_stand() {
    let mut world = EngineWorld::new(2, 8);
    settle(&mut world);
    let places: Vec<_> = world
        .engines
        .values()
        .map(|engine| engine.place.clone())
        .collect();
    world.change_leader();
    let open_before = world.serving();
    for _ in 0..10 {
        world.look(&[]);
        world.step(|| Fate::Delivered);
    }
    let serving = |place: &Option<super::model_engine::Place>| {
        place.as_ref().is_some_and(|place| place.members.len() > 1)
    };
    let after: Vec<_> = world
        .engines
        .values()
        .map(|engine| engine.place.clone())
        .collect();
    for (before, after) in places
        .iter()
        .zip(&after)
        .filter(|(before, _)| serving(before))
    {
        assert_eq!(before, after);
    }
    assert_eq!(world.serving(), open_before);
}

/// An instance whose process has ended refuses every connection at once, long before its entry
/// vanishes: the leader must not try again and again.
#[test]
fn an_instance_that_can_t_be_reached_is_not_tried_again_at_once() {
    let mut world = EngineWorld::new(2, 8);
    settle(&mut world);
    let head = world
        .engines
        .values()
        .find(|engine| engine.is_open())
        .unwrap();
    let members = head.place.as_ref().unwrap().members.clone();
    let spares: Vec<_> = world
        .engines
        .values()
        .filter(|engine| {
            engine
                .place
                .as_ref()
                .is_some_and(|place| place.members.len() == 1)
        })
        .map(|engine| engine.id.clone())
        .collect();
    for spare in &spares {
        world.kill(spare);
    }
    world.kill(&members[1]);
    world.probe(&members[1]);
    let before = world.orders_given();
    for _ in 0..20 {
        world.look(&[]);
        world.step(|| Fate::Delivered);
    }
    let given = world.orders_given() - before;
    assert!(given <= 20, "{given} orders");
}
