//! Property tests: no instance joins another group while its own still serves, and no group opens
//! with a member missing, under random faults of orders, engines and leaders.

use cuminlb_types::prelude::*;
use proptest::prelude::*;

use super::simulation::{ClusterSimulation, Delivery};

/// A random operation on the simulation.
#[derive(Clone, Debug)]
enum Operation {
    Steps(u8),
    Kill(u32),
    Restart(u32),
    SlowDown(u32),
    SpeedUp(u32),
    Probe(u32),
    Refresh,
    RefreshWithout(u32),
    /// The entry is not updated any more.
    Hide(u32),
    /// The entry vanishes.
    Unlist(u32),
    /// All entries are updated again.
    ShowAll,
    ChangeLeader,
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        6 => (1..8_u8).prop_map(Operation::Steps),
        2 => (0..16_u32).prop_map(Operation::Kill),
        1 => (0..16_u32).prop_map(Operation::Restart),
        1 => (0..16_u32).prop_map(Operation::SlowDown),
        1 => (0..16_u32).prop_map(Operation::SpeedUp),
        3 => (0..16_u32).prop_map(Operation::Probe),
        6 => Just(Operation::Refresh),
        1 => (0..16_u32).prop_map(Operation::RefreshWithout),
        2 => (0..16_u32).prop_map(Operation::Hide),
        2 => (0..16_u32).prop_map(Operation::Unlist),
        1 => Just(Operation::ShowAll),
        1 => Just(Operation::ChangeLeader),
    ]
}

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        8 => Just(Delivery::Delivered),
        1 => Just(Delivery::ResponseLost),
        1 => Just(Delivery::Lost),
        2 => (1..48_u8).prop_map(Delivery::Delayed),
    ]
}

fn id(number: u32) -> InstanceId {
    format!("e{number}").parse().unwrap()
}

pub fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x5EA7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn groups_never_overlap_and_never_open_incomplete(
        operations in prop::collection::vec(operation(), 1..60),
        deliveries in prop::collection::vec(delivery(), 1..40),
    ) {
        let mut simulation = ClusterSimulation::new(2, 8);
        let mut deliveries = deliveries.into_iter().cycle();
        let mut hidden = Vec::new();
        for operation in operations {
            match operation {
                Operation::Steps(steps) => for _ in 0..steps {
                    simulation.refresh_entries(&hidden);
                    simulation.step(|| deliveries.next().unwrap());
                },
                Operation::Kill(number) => simulation.kill(&id(number)),
                Operation::Restart(number) => simulation.restart(&id(number)),
                Operation::SlowDown(number) => simulation.set_slowdown(&id(number), 8.0),
                Operation::SpeedUp(number) => simulation.set_slowdown(&id(number), 1.0),
                Operation::Probe(number) => simulation.probe(&id(number)),
                Operation::Refresh => simulation.refresh_entries(&hidden),
                Operation::RefreshWithout(number) => {
                    simulation.refresh_entries(&[&hidden[..], &[id(number)]].concat());
                    simulation.step(|| deliveries.next().unwrap());
                }
                Operation::Hide(number) => hidden.push(id(number)),
                Operation::Unlist(number) => {
                    hidden.push(id(number));
                    simulation.unlist(&id(number));
                }
                Operation::ShowAll => hidden.clear(),
                Operation::ChangeLeader => simulation.change_leader(),
            }
        }
    }

    #[test]
    fn groups_serve_again_after_faults_end(
        kills in prop::collection::vec(0..16_u32, 1..4),
        deliveries in prop::collection::vec(delivery(), 1..20),
    ) {
        let mut simulation = ClusterSimulation::new(2, 8);
        let mut deliveries = deliveries.into_iter().cycle();
        for _ in 0..20 {
            simulation.refresh_entries(&[]);
            simulation.step(|| deliveries.next().unwrap());
        }
        for number in &kills {
            simulation.kill(&id(*number));
            simulation.probe(&id(*number));
            simulation.refresh_entries(&[]);
            simulation.step(|| deliveries.next().unwrap());
        }
        for _ in 0..200 {
            simulation.refresh_entries(&[]);
            simulation.step(|| Delivery::Delivered);
        }
        prop_assert!(simulation.serving() >= 2, "{} groups serve", simulation.serving());
    }
}
