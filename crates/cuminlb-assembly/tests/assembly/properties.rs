//! Groups are never two and never partial, whatever becomes of orders, engines and leaders.

use cuminlb_types::prelude::*;
use proptest::prelude::*;

use super::engine_world::{EngineWorld, Fate};

/// Something that happens between two steps.
#[derive(Clone, Debug)]
enum Event {
    Steps(u8),
    Kill(u32),
    Restart(u32),
    SlowDown(u32),
    SpeedUp(u32),
    Probe(u32),
    Look,
    LookWithout(u32),
    ChangeLeader,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (1..8_u8).prop_map(Event::Steps),
        2 => (0..16_u32).prop_map(Event::Kill),
        1 => (0..16_u32).prop_map(Event::Restart),
        1 => (0..16_u32).prop_map(Event::SlowDown),
        1 => (0..16_u32).prop_map(Event::SpeedUp),
        3 => (0..16_u32).prop_map(Event::Probe),
        6 => Just(Event::Look),
        1 => (0..16_u32).prop_map(Event::LookWithout),
        1 => Just(Event::ChangeLeader),
    ]
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        8 => Just(Fate::Delivered),
        1 => Just(Fate::AnswerLost),
        1 => Just(Fate::Lost),
        2 => (1..48_u8).prop_map(Fate::Late),
    ]
}

fn id(number: u32) -> InstanceId {
    format!("e{number}").parse().unwrap()
}

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x5EA7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn groups_are_never_two_and_never_partial(
        events in prop::collection::vec(event(), 1..60),
        fates in prop::collection::vec(fate(), 1..40),
    ) {
        let mut world = EngineWorld::new(2, 8);
        let mut fates = fates.into_iter().cycle();
        for event in events {
            match event {
                Event::Steps(steps) => for _ in 0..steps {
                    world.look(&[]);
                    world.step(|| fates.next().unwrap());
                },
                Event::Kill(number) => world.kill(&id(number)),
                Event::Restart(number) => world.restart(&id(number)),
                Event::SlowDown(number) => world.set_slowdown(&id(number), 8.0),
                Event::SpeedUp(number) => world.set_slowdown(&id(number), 1.0),
                Event::Probe(number) => world.probe(&id(number)),
                Event::Look => world.look(&[]),
                Event::LookWithout(number) => {
                    world.look(&[id(number)]);
                    world.step(|| fates.next().unwrap());
                }
                Event::ChangeLeader => world.change_leader(),
            }
        }
    }

    #[test]
    fn groups_serve_again_once_faults_end(
        kills in prop::collection::vec(0..16_u32, 1..4),
        fates in prop::collection::vec(fate(), 1..20),
    ) {
        let mut world = EngineWorld::new(2, 8);
        let mut fates = fates.into_iter().cycle();
        for _ in 0..20 {
            world.look(&[]);
            world.step(|| fates.next().unwrap());
        }
        for number in &kills {
            world.kill(&id(*number));
            world.probe(&id(*number));
            world.look(&[]);
            world.step(|| fates.next().unwrap());
        }
        for _ in 0..200 {
            world.look(&[]);
            world.step(|| Fate::Delivered);
        }
        prop_assert!(world.serving() >= 2, "{} groups serve", world.serving());
    }
}
