//! Property test of claims: for any order of calls, duplicates, node crashes and lost table calls,
//! a key is executed at most once and every refusal states the true run state.

use std::time::Duration;

use cuminlb::serving::claims::ClaimOutcome;
use cuminlb_routing::{RefusalKind, RunState};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, RngSeed, TestCaseError};
use tokio::time::Instant;

use crate::claim_world::{
    Attempt, AttemptResult, KEY_COUNT, NODE_COUNT, Scenario, Simulation, claim_request,
};
use crate::memory_table::TableFault;

fn scenario() -> impl Strategy<Value = Scenario> {
    prop_oneof![
        4 => Just(Scenario::Answered),
        1 => Just(Scenario::ResponseLost),
        1 => Just(Scenario::NotSent),
        1 => (0_u64..1_500).prop_map(|after_ms| Scenario::CallerLeaves { after_ms }),
        1 => Just(Scenario::CrashBeforeClaim),
        1 => Just(Scenario::CrashAfterClaim),
        1 => Just(Scenario::CrashAfterSend),
        1 => Just(Scenario::CrashBeforeRecord),
    ]
}

fn fault() -> impl Strategy<Value = TableFault> {
    prop_oneof![
        4 => Just(TableFault::None),
        1 => Just(TableFault::Unreachable),
        1 => Just(TableFault::RequestLost),
        1 => Just(TableFault::ResponseLost),
        1 => (100_u64..6_000).prop_map(|after_ms| TableFault::LateEffect { after_ms }),
        1 => (10_u64..400).prop_map(|delay_ms| TableFault::Slow { delay_ms }),
    ]
}

fn attempts() -> impl Strategy<Value = Vec<Attempt>> {
    let attempt = (0..NODE_COUNT, 0..KEY_COUNT, 0_u64..4_000, scenario()).prop_map(
        |(node, key, start_ms, scenario)| Attempt {
            node,
            key,
            start_ms,
            scenario,
        },
    );
    prop::collection::vec(attempt, 1..10)
}

async fn check(attempts: Vec<Attempt>, faults: Vec<TableFault>) -> Result<(), TestCaseError> {
    let simulation = Simulation::new(faults);
    let runs = attempts.iter().map(|attempt| simulation.run(*attempt));
    let mut results = futures_util::future::join_all(runs).await;
    simulation.table_service.end_faults();
    // Delayed commits take effect and are resolved within this time.
    tokio::time::sleep(Duration::from_secs(60)).await;
    for key in 0..KEY_COUNT {
        let duplicate = Attempt {
            node: 0,
            key,
            start_ms: 0,
            scenario: Scenario::Answered,
        };
        let incarnation = simulation.nodes.borrow()[0].incarnation;
        let claims = simulation.nodes.borrow()[0].claims.clone();
        let claim_request = claim_request(duplicate, incarnation, "probe");
        let deadline = Instant::now() + Duration::from_secs(20);
        match claims.acquire(claim_request, deadline).await {
            Ok(ClaimOutcome::Open(row)) => {
                let sender = format!("{}/{}", row.sender, row.incarnation);
                let is_killed = simulation.killed.borrow().contains(&sender);
                prop_assert!(
                    is_killed,
                    "{} is still claimed by running {sender}",
                    row.request
                );
            }
            Ok(ClaimOutcome::Held(claim)) => drop(claim),
            Ok(ClaimOutcome::Recorded(_)) => {}
            Err(refusal) => prop_assert_eq!(refusal.kind, RefusalKind::OutcomeUnknown),
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        results.push(simulation.run(duplicate).await);
    }
    check_results(&simulation, &results)
}

fn check_results(
    simulation: &Simulation,
    results: &[(String, usize, AttemptResult)],
) -> Result<(), TestCaseError> {
    let executions = simulation.executions.borrow();
    for (key, requests) in executions.iter() {
        prop_assert!(
            requests.len() <= 1,
            "key {key} was executed by {requests:?}"
        );
    }
    for (request, key, result) in results {
        let executed = executions.get(key).and_then(|requests| requests.first());
        match result {
            Some(Ok(response)) => {
                let outcome = executed.map(|request| request.clone().into());
                prop_assert_eq!(Some(&response.body), outcome.as_ref());
            }
            Some(Err(refusal)) if refusal.run_state == RunState::NotRun => {
                prop_assert_ne!(executed, Some(request), "refused as not run: {}", refusal);
            }
            Some(Err(_)) | None => {}
        }
    }
    Ok(())
}

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(0x5eed_0003),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn key_is_executed_at_most_once(
        attempts in attempts(),
        faults in prop::collection::vec(fault(), 0..24),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .unwrap();
        runtime.block_on(check(attempts, faults))?;
    }
}
