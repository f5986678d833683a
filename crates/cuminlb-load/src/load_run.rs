//! [`run_load`].

use std::sync::Arc;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::stream_caller::StreamCaller;
use crate::{LoadPlan, LoadReport};

/// Plays a plan: one task for each request, started at its scheduled time, all joined.
pub async fn run_load(plan: LoadPlan) -> LoadReport {
    let plan = Arc::new(plan);
    let caller = StreamCaller::new();
    let mut rng = StdRng::seed_from_u64(plan.seed);
    let mut requests = JoinSet::new();
    let mut report = LoadReport::new(&plan.teams);
    let started = Instant::now();
    for (number, time) in plan.schedule.times().iter().enumerate() {
        let due = started + *time;
        tokio::time::sleep_until(due).await;
        let team = draw_team(&plan, &mut rng);
        let (plan, caller) = (Arc::clone(&plan), caller.clone());
        requests.spawn(async move {
            let target = &plan.targets[number % plan.targets.len()];
            caller.call(&plan, target, team, due).await
        });
        while let Some(Ok(sample)) = requests.try_join_next() {
            report.add(&sample);
        }
    }
    while let Some(joined) = requests.join_next().await {
        if let Ok(sample) = joined {
            report.add(&sample);
        }
    }
    report.set_length(started.elapsed());
    report
}

/// Draws the index of a team by weight.
fn draw_team(plan: &LoadPlan, rng: &mut StdRng) -> usize {
    let total: u32 = plan.teams.iter().map(|team| team.weight.get()).sum();
    if total == 0 {
        return 0;
    }
    let mut drawn = rng.random_range(0..total);
    for (index, team) in plan.teams.iter().enumerate() {
        if drawn < team.weight.get() {
            return index;
        }
        drawn -= team.weight.get();
    }
    0
}
