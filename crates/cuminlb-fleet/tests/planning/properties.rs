//! Checks invariants over random sequences of operations and faults.

use cuminlb_fleet::planning::PlanStep;
use cuminlb_types::prelude::*;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

use crate::simulation::{Simulation, fleet};

/// The seed of the random sequences.
const SEED: u64 = 0x0a12_5eed;

/// An operation or a fault; numbers select among the existing instances and domains.
#[derive(Clone, Debug)]
enum Operation {
    /// A planner plans and executes its steps, except those in the mask, which fail with a
    /// conflict.
    Plan {
        conflict_mask: u8,
        load_budget: usize,
    },
    /// A planner plans and is paused before it executes its steps.
    PlanAndPause,
    /// A paused planner resumes and executes its old steps.
    Resume,
    /// The owners of the groups report missing members and drained groups.
    ReportAsOwners,
    /// An instance stops or is paused.
    Stop(usize),
    /// An instance restarts.
    Start(usize),
    /// All instances of a fabric domain stop or restart.
    Domain { domain: usize, is_up: bool },
    /// The platform reports that an instance is leaving, or withdraws that.
    Leaving { instance: usize, is_leaving: bool },
    /// An operator applies a fleet file.
    Apply {
        replicas: u32,
        members: u32,
        zone_out: usize,
    },
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        6 => (any::<u8>(), 0..4_usize, any::<bool>())
            .prop_map(|(mask, load_budget, has_conflicts)| {
                Operation::Plan { conflict_mask: if has_conflicts { mask } else { 0 }, load_budget }
            }),
        1 => Just(Operation::PlanAndPause),
        2 => Just(Operation::Resume),
        5 => Just(Operation::ReportAsOwners),
        4 => any::<usize>().prop_map(Operation::Stop),
        4 => any::<usize>().prop_map(Operation::Start),
        1 => (any::<usize>(), any::<bool>())
            .prop_map(|(domain, is_up)| Operation::Domain { domain, is_up }),
        1 => (any::<usize>(), any::<bool>())
            .prop_map(|(instance, is_leaving)| Operation::Leaving { instance, is_leaving }),
        1 => (0..6_u32, 2..4_u32, 0..4_usize).prop_map(|(replicas, members, zone_out)| {
            Operation::Apply { replicas, members, zone_out }
        }),
    ]
}

fn apply_operation(sim: &mut Simulation, paused_steps: &mut Vec<PlanStep>, operation: &Operation) {
    let ids: Vec<InstanceId> = sim.instances.keys().cloned().collect();
    match *operation {
        Operation::Plan {
            conflict_mask,
            load_budget,
        } => {
            for (index, step) in sim.plan(load_budget).iter().enumerate() {
                if conflict_mask >> (index % 8) & 1 == 0 {
                    sim.execute(step);
                    sim.check();
                }
            }
        }
        Operation::PlanAndPause => *paused_steps = sim.plan(usize::MAX),
        Operation::Resume => {
            for step in std::mem::take(paused_steps) {
                sim.execute(&step);
                sim.check();
            }
        }
        Operation::ReportAsOwners => sim.report_as_owners(),
        Operation::Stop(number) => sim.set_running(&ids[number % ids.len()], false),
        Operation::Start(number) => sim.set_running(&ids[number % ids.len()], true),
        Operation::Domain { domain, is_up } => {
            let domain = sim.instances[&ids[domain % ids.len()]].domain.clone();
            for id in ids {
                if sim.instances[&id].domain == domain {
                    sim.set_running(&id, is_up);
                }
            }
        }
        Operation::Leaving {
            instance,
            is_leaving,
        } => {
            let id = &ids[instance % ids.len()];
            sim.instances.get_mut(id).unwrap().is_leaving = is_leaving;
        }
        Operation::Apply {
            replicas,
            members,
            zone_out,
        } => {
            let zones_out: &[&str] = match zone_out {
                0 => &["lami"],
                1 => &["nasese"],
                _ => &[],
            };
            sim.fleet = fleet(replicas, members, [3.0, 1.0, 1.0], zones_out);
        }
    }
}

/// Runs owners and planners until nothing changes, and checks that as many groups serve as the
/// usable instances allow.
fn settle(sim: &mut Simulation) {
    for _ in 0..20 {
        let before = sim.roster.clone();
        sim.report_as_owners();
        sim.plan_and_execute();
        sim.check();
        if sim.roster == before {
            break;
        }
    }
    let replicas = sim.fleet.services[0].replicas.get() as usize;
    let expected = replicas.min(sim.capacity());
    assert_eq!(sim.serving().len(), expected, "{sim:#?}");
    for group in sim.serving() {
        assert_eq!(group.members.len(), sim.group_size());
    }
}

#[test]
fn groups_stay_consistent_and_all_that_can_serve_do() {
    let config = Config {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    };
    let strategy = vec(operation(), 1..60);
    TestRunner::new(config)
        .run(&strategy, |operations| {
            let domains = [
                ("a", "lami", 5),
                ("b", "lami", 3),
                ("c", "nasese", 4),
                ("d", "nasese", 7),
            ];
            let mut sim = Simulation::new(fleet(4, 2, [3.0, 1.0, 1.0], &[]), &domains);
            let mut paused_steps = Vec::new();
            for operation in &operations {
                apply_operation(&mut sim, &mut paused_steps, operation);
                sim.check();
            }
            settle(&mut sim);
            Ok(())
        })
        .unwrap();
}
