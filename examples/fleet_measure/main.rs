//! Measures the plans of groups against a naive greedy planner, in model time.
//!
//! Both planners meet the same seeded schedule of failures, restarts, dark fabric domains and
//! zones that are taken out. The decision code is that of the product; only time, instances and
//! the weight store are modelled.

#![expect(clippy::print_stdout, reason = "the table is the output")]

mod machine;
mod measures;
mod naive;
mod schedule;
mod simulation;
mod size;

use measures::Measures;
use schedule::Schedule;
use simulation::{PlannerKind, Simulation};
use size::FleetSize;

/// The seeds; each is one schedule.
const SEEDS: [u64; 3] = [11, 12, 13];

/// The deployments: name and the weights of group downtime, stranded accelerators and changes of
/// zones.
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
        schedule::LENGTH_S / 3_600
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
    let accelerators = f64::from(size.members * machine::ACCELERATORS);
    println!(
        "| {} | {} | {} | {deployment} | {planner} | {} | {} | {} | {} | {:.0} |",
        size.workers,
        size.members,
        size.replicas,
        total.downtime_group_s,
        total.unavoidable_group_s,
        total.zone_change_group_s,
        total.stranded_accelerator_s,
        total.weighted(weights, accelerators),
    );
}
