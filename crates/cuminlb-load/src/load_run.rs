//! The open-loop driver that executes a [`LoadPlan`].

use std::sync::Arc;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::stream_client::StreamClient;
use crate::{LoadPlan, LoadReport};

/// Executes a plan: spawns one task per request at its scheduled time and waits for all of them.
pub async fn run_load(plan: LoadPlan) -> LoadReport {
    let plan = Arc::new(plan);
    let client = StreamClient::new();
    let mut rng = StdRng::seed_from_u64(plan.seed);
    let mut requests = JoinSet::new();
    let mut report = LoadReport::new(&plan.teams);
    let started_at = Instant::now();
    for (index, offset) in plan.schedule.offsets().iter().enumerate() {
        let scheduled_at = started_at + *offset;
        tokio::time::sleep_until(scheduled_at).await;
        let team = draw_team(&plan, &mut rng);
        let (plan, client) = (Arc::clone(&plan), client.clone());
        requests.spawn(async move {
            let target = &plan.targets[index % plan.targets.len()];
            client.call(&plan, target, team, scheduled_at).await
        });
        while let Some(Ok(sample)) = requests.try_join_next() {
            report.add(&sample);
        }
    }
    while let Some(result) = requests.join_next().await {
        if let Ok(sample) = result {
            report.add(&sample);
        }
    }
    report.set_duration(started_at.elapsed());
    report
}

/// Picks the index of a random team, in proportion to the weights.
fn draw_team(plan: &LoadPlan, rng: &mut StdRng) -> usize {
    let total_weight: u32 = plan.teams.iter().map(|team| team.weight.get()).sum();
    if total_weight == 0 {
        return 0;
    }
    let mut drawn = rng.random_range(0..total_weight);
    for (index, team) in plan.teams.iter().enumerate() {
        if drawn < team.weight.get() {
            return index;
        }
        drawn -= team.weight.get();
    }
    0
}
