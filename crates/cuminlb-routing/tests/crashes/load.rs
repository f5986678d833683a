//! Plays loads in which a part of some prompts crashes what responds to it, and loads in which instances
//! end for other reasons.

use std::time::Duration;

use crate::simulated_service::{Scenario, SimulatedService};

/// The number of seeds of each load.
const SEEDS: u64 = 12;

/// The time after the fifth crash from which on nodes must have concluded what causes the crashes.
const CONTACT: Duration = Duration::from_secs(3);

/// The time that a load with such a part is played.
const RUN: Duration = Duration::from_secs(44);

/// The number of requests with the part that may be sent after that.
const MAX_LATE_SENDS: usize = 3;

const DEADLY: Scenario = Scenario {
    nodes: 9,
    heads: 6,
    downtime: Duration::from_millis(3_000),
    rate: 30.0,
    deadly_share: 0.05,
    deadly_from: Duration::from_secs(4),
    deadly_until: Duration::from_secs(40),
    kill_period: None,
    kill_until: Duration::ZERO,
    kill_count: 1,
};

/// Checks that the part is hardly sent after the fifth crash, and that sound requests are.
fn check_deadly(scenario: Scenario, seed: u64) {
    let run = SimulatedService::new(scenario, seed).run(RUN);
    let fifth = run.deadly_crashes.get(4).copied();
    let Some(fifth) = fifth else {
        return;
    };
    let late = run.deadly_sends.iter().filter(|at| **at > fifth + CONTACT);
    let late = late.count();
    assert!(
        late <= MAX_LATE_SENDS,
        "seed {seed}: {late} late, crashes {:?}",
        run.deadly_crashes
    );
    let from = (fifth + CONTACT * 2).as_secs() + 1;
    if from >= RUN.as_secs() {
        return;
    }
    let share = run.sound_share_sent(from..RUN.as_secs());
    assert!(
        share > 0.95,
        "seed {seed}: {share} of the sound requests were sent"
    );
}

#[test]
fn a_deadly_part_is_kept_back_and_requests_that_share_the_rest_are_served() {
    for seed in 0..SEEDS {
        check_deadly(DEADLY, seed);
    }
}

#[test]
fn a_deadly_part_is_found_among_few_nodes_many_nodes_and_a_few_heads() {
    for (nodes, heads) in [(1, 3), (3, 4), (60, 24)] {
        for seed in 0..SEEDS {
            let scenario = Scenario {
                nodes,
                heads,
                ..DEADLY
            };
            check_deadly(scenario, seed);
        }
    }
}

#[test]
fn a_deadly_part_is_found_while_heads_end_for_other_reasons_too() {
    for seed in 0..SEEDS {
        let scenario = Scenario {
            heads: 10,
            kill_period: Some(Duration::from_millis(1_500)),
            kill_until: Duration::from_secs(40),
            ..DEADLY
        };
        check_deadly(scenario, seed);
    }
}

#[test]
fn shared_parts_are_not_kept_back_when_heads_are_killed_in_series() {
    for seed in 0..SEEDS {
        let scenario = Scenario {
            heads: 8,
            kill_period: Some(Duration::from_millis(700)),
            kill_until: Duration::from_secs(30),
            ..Scenario::default()
        };
        let run = SimulatedService::new(scenario, seed).run(Duration::from_secs(36));
        let share = run.sound_share_sent(0..36);
        assert!(
            share > 0.98,
            "seed {seed}: {share} of the requests were sent"
        );
    }
}

#[test]
fn shared_parts_are_not_kept_back_when_a_rack_loses_power() {
    for seed in 0..SEEDS {
        let scenario = Scenario {
            heads: 12,
            kill_period: Some(Duration::from_millis(5_000)),
            kill_until: Duration::from_secs(20),
            kill_count: 8,
            ..Scenario::default()
        };
        let run = SimulatedService::new(scenario, seed).run(Duration::from_secs(30));
        let share = run.sound_share_sent(0..30);
        assert!(
            share > 0.98,
            "seed {seed}: {share} of the requests were sent"
        );
    }
}

/// All heads end one after the other, so that nothing can prove the parts sound until they are back.
#[test]
fn shared_parts_come_back_after_all_heads_were_lost_in_series() {
    for seed in 0..SEEDS {
        let scenario = Scenario {
            heads: 4,
            downtime: Duration::from_millis(8_000),
            kill_period: Some(Duration::from_millis(500)),
            kill_until: Duration::from_secs(6),
            ..Scenario::default()
        };
        let run = SimulatedService::new(scenario, seed).run(Duration::from_secs(30));
        let share = run.sound_share_sent(18..30);
        assert!(
            share > 0.98,
            "seed {seed}: {share} of the requests were sent"
        );
    }
}

#[test]
fn a_part_that_stops_crashing_comes_back() {
    for seed in 0..SEEDS {
        let scenario = Scenario {
            deadly_until: Duration::from_secs(12),
            ..DEADLY
        };
        let run = SimulatedService::new(scenario, seed).run(Duration::from_secs(30));
        let share = run.sound_share_sent(20..30);
        assert!(
            share > 0.98,
            "seed {seed}: {share} of the requests were sent"
        );
    }
}
