//! Compares the group planner with a naive greedy one by simulation.
//!
//! Both planners run against the same seeded schedules of instance failures, restarts, outages of
//! fabric domains and zones that are taken out. The planning code is that of the product; only
//! time, the instances and the weight store are simulated.

#![expect(clippy::print_stdout, reason = "the table is the output")]

mod fleet_file;
mod instance;
mod measures;
mod naive;
mod planner_kind;
mod schedule;
mod serving_counts;
mod simulation;
mod size;

use measures::Measures;
use planner_kind::PlannerKind;
use schedule::Schedule;
use simulation::Simulation;
use size::FleetSize;

/// The random seeds; each generates one schedule.
const SEEDS: [u64; 3] = [11, 12, 13];

/// The name of each deployment, and its weights of group downtime, stranded accelerators and zone
/// changes.
const DEPLOYMENTS: [(&str, [f64; 3]); 2] = [
    ("authority", [3.0, 1.0, 1.0]),
    ("association", [1.0, 1.0, 3.0]),
];

fn main() {
    println!(
        "| workers | group | replicas | deployment | planner | group downtime | \
         of it unavoidable | avoidable at zone changes | stranded accelerators | weighted cost |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for size in FleetSize::ALL {
        for (deployment, weights) in DEPLOYMENTS {
            for planner in [PlannerKind::Naive, PlannerKind::Product] {
                let total = SEEDS
                    .iter()
                    .map(|seed| run(size, weights, planner, *seed))
                    .sum::<Measures>();
                print_row(size, deployment, weights, planner, &total);
            }
        }
    }
    println!(
        "\nSums over {} seeds of {} h each, in group-seconds and accelerator-seconds. The \
         weighted cost counts a group's accelerators for each group-second.",
        SEEDS.len(),
        schedule::RUN_DURATION_S / 3_600
    );
}

fn run(size: FleetSize, weights: [f64; 3], planner: PlannerKind, seed: u64) -> Measures {
    let schedule = Schedule::new(size, seed);
    Simulation::new(size, weights, planner).run(&schedule)
}

fn print_row(
    size: FleetSize,
    deployment: &str,
    weights: [f64; 3],
    planner: PlannerKind,
    total: &Measures,
) {
    let accelerators_per_group =
        f64::from(size.members_per_group * instance::ACCELERATORS_PER_INSTANCE);
    println!(
        "| {} | {} | {} | {deployment} | {planner} | {} | {} | {} | {} | {:.0} |",
        size.workers,
        size.members_per_group,
        size.replicas,
        total.downtime_group_s,
        total.unavoidable_group_s,
        total.zone_change_group_s,
        total.stranded_accelerator_s,
        total.weighted_cost(weights, accelerators_per_group),
    );
}
