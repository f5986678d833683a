//! Random sequences of operations and faults.

use cuminlb_fleet::planning::PlanStep;
use cuminlb_types::prelude::*;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

use crate::world::{World, fleet};

const SEED: u64 = 0x0a12_5eed;

/// One thing that happens; numbers choose among what there is.
#[derive(Clone, Debug)]
enum Happening {
    /// A planner plans now and carries its steps out; the steps of the mask meet a conflict.
    Plan { conflicts: u8, load_budget: usize },
    /// A planner plans now and is paused before it acts.
    PlanAndPause,
    /// A paused planner goes on with its old steps.
    Resume,
    /// Owners report what they see.
    OwnersReport,
    /// An instance dies or is paused.
    Down(usize),
    /// An instance starts anew.
    Up(usize),
    /// A whole fabric domain goes dark or comes back.
    Domain { domain: usize, up: bool },
    /// The platform takes an instance away, or no longer does.
    Leaving { instance: usize, leaving: bool },
    /// An operator applies a fleet file.
    Apply {
        replicas: u32,
        members: u32,
        zone_out: usize,
    },
}

fn happening() -> impl Strategy<Value = Happening> {
    prop_oneof![
        6 => (any::<u8>(), 0..4_usize, any::<bool>()).prop_map(|(mask, load_budget, conflicts)| {
            Happening::Plan { conflicts: if conflicts { mask } else { 0 }, load_budget }
        }),
        1 => Just(Happening::PlanAndPause),
        2 => Just(Happening::Resume),
        5 => Just(Happening::OwnersReport),
        4 => any::<usize>().prop_map(Happening::Down),
        4 => any::<usize>().prop_map(Happening::Up),
        1 => (any::<usize>(), any::<bool>()).prop_map(|(domain, up)| Happening::Domain { domain, up }),
        1 => (any::<usize>(), any::<bool>())
            .prop_map(|(instance, leaving)| Happening::Leaving { instance, leaving }),
        1 => (0..6_u32, 2..4_u32, 0..4_usize).prop_map(|(replicas, members, zone_out)| {
            Happening::Apply { replicas, members, zone_out }
        }),
    ]
}

fn happen(world: &mut World, paused: &mut Vec<PlanStep>, happening: &Happening) {
    let ids: Vec<InstanceId> = world.machines.keys().cloned().collect();
    match *happening {
        Happening::Plan {
            conflicts,
            load_budget,
        } => {
            for (number, step) in world.plan(load_budget).iter().enumerate() {
                if conflicts >> (number % 8) & 1 == 0 {
                    world.carry_out(step);
                    world.check();
                }
            }
        }
        Happening::PlanAndPause => *paused = world.plan(usize::MAX),
        Happening::Resume => {
            for step in std::mem::take(paused) {
                world.carry_out(&step);
                world.check();
            }
        }
        Happening::OwnersReport => world.owners_report(),
        Happening::Down(number) => world.set_up(&ids[number % ids.len()], false),
        Happening::Up(number) => world.set_up(&ids[number % ids.len()], true),
        Happening::Domain { domain, up } => {
            let domain = world.machines[&ids[domain % ids.len()]].domain.clone();
            for id in ids {
                if world.machines[&id].domain == domain {
                    world.set_up(&id, up);
                }
            }
        }
        Happening::Leaving { instance, leaving } => {
            let id = &ids[instance % ids.len()];
            world.machines.get_mut(id).unwrap().leaving = leaving;
        }
        Happening::Apply {
            replicas,
            members,
            zone_out,
        } => {
            let zones_out: &[&str] = match zone_out {
                0 => &["lami"],
                1 => &["nasese"],
                _ => &[],
            };
            world.fleet = fleet(replicas, members, [3.0, 1.0, 1.0], zones_out);
        }
    }
}

/// Lets owners and planners act until nothing changes, and checks that all groups serve that can.
fn settle(world: &mut World) {
    for _ in 0..20 {
        let before = world.roster.clone();
        world.owners_report();
        world.plan_and_carry_out();
        world.check();
        if world.roster == before {
            break;
        }
    }
    let replicas = world.fleet.services[0].replicas.get() as usize;
    let expected = replicas.min(world.capacity());
    assert_eq!(world.serving().len(), expected, "{world:#?}");
    for group in world.serving() {
        assert_eq!(group.members.len(), world.size());
    }
}

#[test]
fn groups_stay_exact_and_all_that_can_serve_do() {
    let config = Config {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    };
    let strategy = vec(happening(), 1..60);
    TestRunner::new(config)
        .run(&strategy, |happenings| {
            let domains = [
                ("a", "lami", 5),
                ("b", "lami", 3),
                ("c", "nasese", 4),
                ("d", "nasese", 7),
            ];
            let mut world = World::new(fleet(4, 2, [3.0, 1.0, 1.0], &[]), &domains);
            let mut paused = Vec::new();
            for happening in &happenings {
                happen(&mut world, &mut paused, happening);
                world.check();
            }
            settle(&mut world);
            Ok(())
        })
        .unwrap();
}
