//! Properties of claims: over any order of callers, repeats, deaths and losses of the table, a
//! key is executed at most once and every refusal is true.

use std::time::Duration;

use cuminlb::serving::claims::ClaimOutcome;
use cuminlb_routing::{RefusalKind, RunState};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, RngSeed, TestCaseError};
use tokio::time::Instant;

use crate::claim_world::{Attempt, End, Fate, KEYS, NODES, World, wanted};
use crate::memory_table::TableFault;

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        4 => Just(Fate::Answered),
        1 => Just(Fate::AnswerLost),
        1 => Just(Fate::NotSent),
        1 => (0_u64..1_500).prop_map(|after_ms| Fate::GivesUp { after_ms }),
        1 => Just(Fate::DiesBeforeClaim),
        1 => Just(Fate::DiesWithClaim),
        1 => Just(Fate::DiesAfterSend),
        1 => Just(Fate::DiesBeforeRecord),
    ]
}

fn fault() -> impl Strategy<Value = TableFault> {
    prop_oneof![
        4 => Just(TableFault::None),
        1 => Just(TableFault::Unreachable),
        1 => Just(TableFault::LostBefore),
        1 => Just(TableFault::LostAfter),
        1 => (100_u64..6_000).prop_map(|after_ms| TableFault::LateEffect { after_ms }),
        1 => (10_u64..400).prop_map(|delay_ms| TableFault::Slow { delay_ms }),
    ]
}

fn attempts() -> impl Strategy<Value = Vec<Attempt>> {
    let attempt =
        (0..NODES, 0..KEYS, 0_u64..4_000, fate()).prop_map(|(node, key, start_ms, fate)| Attempt {
            node,
            key,
            start_ms,
            fate,
        });
    prop::collection::vec(attempt, 1..10)
}

async fn check(attempts: Vec<Attempt>, faults: Vec<TableFault>) -> Result<(), TestCaseError> {
    let world = World::new(faults);
    let runs = attempts.iter().map(|attempt| world.run(*attempt));
    let mut ends = futures_util::future::join_all(runs).await;
    world.service.end_faults();
    // Whatever was late lands and is settled.
    tokio::time::sleep(Duration::from_secs(60)).await;
    for key in 0..KEYS {
        let repeat = Attempt {
            node: 0,
            key,
            start_ms: 0,
            fate: Fate::Answered,
        };
        let incarnation = world.nodes.borrow()[0].incarnation;
        let claims = world.nodes.borrow()[0].claims.clone();
        let wanted = wanted(repeat, incarnation, "probe");
        let deadline = Instant::now() + Duration::from_secs(20);
        match claims.acquire(wanted, deadline).await {
            Ok(ClaimOutcome::Open(row)) => {
                let sender = format!("{}/{}", row.sender, row.incarnation);
                let is_dead = world.dead.borrow().contains(&sender);
                prop_assert!(is_dead, "{} is stuck at living {sender}", row.request);
            }
            Ok(ClaimOutcome::Held(claim)) => drop(claim),
            Ok(ClaimOutcome::Recorded(_)) => {}
            Err(refusal) => prop_assert_eq!(refusal.kind, RefusalKind::OutcomeUnknown),
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        ends.push(world.run(repeat).await);
    }
    check_ends(&world, &ends)
}

fn check_ends(world: &World, ends: &[(String, usize, End)]) -> Result<(), TestCaseError> {
    let executions = world.executions.borrow();
    for (key, requests) in executions.iter() {
        prop_assert!(
            requests.len() <= 1,
            "key {key} was executed by {requests:?}"
        );
    }
    for (request, key, end) in ends {
        let executed = executions.get(key).and_then(|requests| requests.first());
        match end {
            Some(Ok(answer)) => {
                let outcome = executed.map(|request| request.clone().into());
                prop_assert_eq!(Some(&answer.body), outcome.as_ref());
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
