//! Property test of planning transactions: two planners share a table that loses requests and
//! responses.

use std::collections::BTreeMap;
use std::sync::Arc;

use cuminlb::control::PlanTransactions;
use cuminlb::node::Node;
use cuminlb_config::NodeSettings;
use cuminlb_fleet::planning::{PlanStep, PlannedMember, RosterChange};
use cuminlb_fleet::rows::{GroupState, InstanceRow, Roster, RowKeys};
use cuminlb_platform::{TableClient, TableError, TableService};
use cuminlb_types::prelude::*;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

use crate::plan_table::{CallOutcome, FakeTable};

const SEED: u64 = 0x0b0a_7005;

const INSTANCE_COUNT: usize = 8;

/// A step that a planner attempts, valid or not; the numbers select groups and instances.
#[derive(Clone, Debug)]
enum StepAttempt {
    Form { first: usize, count: usize },
    Repair { group: usize, first: usize },
    Drain { group: usize },
    Dissolve { group: usize },
    ChangeState { group: usize, drained: bool },
}

fn step_attempt() -> impl Strategy<Value = StepAttempt> {
    prop_oneof![
        3 => (0..INSTANCE_COUNT, 1..4_usize)
            .prop_map(|(first, count)| StepAttempt::Form { first, count }),
        2 => (0..4_usize, 0..INSTANCE_COUNT)
            .prop_map(|(group, first)| StepAttempt::Repair { group, first }),
        1 => (0..4_usize).prop_map(|group| StepAttempt::Drain { group }),
        2 => (0..4_usize).prop_map(|group| StepAttempt::Dissolve { group }),
        3 => (0..4_usize, any::<bool>())
            .prop_map(|(group, drained)| StepAttempt::ChangeState { group, drained }),
    ]
}

fn call_outcome() -> impl Strategy<Value = CallOutcome> {
    prop_oneof![
        6 => Just(CallOutcome::Answered),
        2 => Just(CallOutcome::ResponseLost),
        1 => Just(CallOutcome::RequestLost),
        2 => Just(CallOutcome::Delayed),
        1 => Just(CallOutcome::Unreachable),
    ]
}

fn service_id() -> ServiceId {
    "m".parse().unwrap()
}

fn planned_members(first: usize, count: usize) -> Vec<PlannedMember> {
    let member = |offset| PlannedMember {
        instance: format!("m-i{}", (first + offset) % INSTANCE_COUNT)
            .parse()
            .unwrap(),
        incarnation: Incarnation(1),
    };
    (0..count).map(member).collect()
}

/// Returns the plan step of an attempt against the roster that a planner has read.
fn planned_step(roster: &Roster, attempt: &StepAttempt) -> Option<PlanStep> {
    let group = |number: usize| roster.groups.get(number % roster.groups.len().max(1));
    match *attempt {
        StepAttempt::Form { first, count } => Some(PlanStep::Form {
            zone: "lami".parse().unwrap(),
            domain: "lami-fabric".parse().unwrap(),
            members: planned_members(first, count),
        }),
        StepAttempt::Repair {
            group: index,
            first,
        } => group(index).map(|group| PlanStep::Repair {
            group: group.id.clone(),
            epoch: group.epoch,
            members: planned_members(first, group.members.len()),
        }),
        StepAttempt::Drain { group: index } => group(index).map(|group| PlanStep::Drain {
            group: group.id.clone(),
            epoch: group.epoch,
        }),
        StepAttempt::Dissolve { group: index } => group(index).map(|group| PlanStep::Dissolve {
            group: group.id.clone(),
            epoch: group.epoch,
        }),
        StepAttempt::ChangeState { .. } => None,
    }
}

/// Checks that the roster and the rows of the instances agree, and no instance is in two groups.
fn check_consistency(table: &FakeTable) {
    let rows = table.rows.lock().unwrap();
    let roster: Roster = rows
        .value(&RowKeys::roster(&service_id()))
        .unwrap_or_default();
    let mut members = BTreeMap::new();
    for group in &roster.groups {
        for member in &group.members {
            let other_group = members.insert(RowKeys::instance(member), group.id.clone());
            assert_eq!(other_group, None, "{member} is in two groups");
        }
    }
    let is_instance = |key: &&RowKey| key.as_str().starts_with("instance/");
    let claimed: BTreeMap<RowKey, GroupId> = rows
        .rows
        .keys()
        .filter(is_instance)
        .map(|key| (key.clone(), rows.value::<InstanceRow>(key).unwrap().group))
        .collect();
    assert_eq!(members, claimed);
}

fn node(table: &Arc<FakeTable>) -> Node {
    let text = include_str!("../../settings/node.toml");
    let (mut node, _released) = Node::new(NodeSettings::parse("node.toml", text).unwrap());
    node.table = TableClient::new(Arc::clone(table) as Arc<dyn TableService>);
    node
}

async fn run_attempt(
    table: &FakeTable,
    node: &Node,
    attempt: &StepAttempt,
) -> Result<Option<RosterChange>, TableError> {
    let service_id = service_id();
    let plans = PlanTransactions::new(node, &service_id);
    let roster = plans
        .read_roster()
        .await?
        .map(|row| row.value)
        .unwrap_or_default();
    if let Some(step) = planned_step(&roster, attempt) {
        return plans.execute_step(&step).await;
    }
    let StepAttempt::ChangeState { group, drained } = attempt else {
        return Ok(None);
    };
    let Some(record) = roster.groups.get(group % roster.groups.len().max(1)) else {
        return Ok(None);
    };
    let state = if *drained {
        GroupState::Drained
    } else {
        let missing = record.members[..1].to_vec();
        GroupState::Broken { missing }
    };
    let lease = RowKeys::lease(&RowKeys::group_lease(&record.id));
    let version = lease_version(table, lease);
    plans.change_state(record, state, version).await?;
    Ok(None)
}

/// Returns the version of a lease row, and creates the row if it is absent.
fn lease_version(table: &FakeTable, lease: RowKey) -> RowVersion {
    let mut rows = table.rows.lock().unwrap();
    if let Some(version) = rows.version(&lease) {
        return version;
    }
    rows.last_version = rows.last_version.next();
    let version = rows.last_version;
    rows.rows.insert(lease, (version, "{}".to_owned()));
    version
}

/// Checks that a change reported to a planner is in the table.
fn check_change(table: &FakeTable, change: &RosterChange) {
    let rows = table.rows.lock().unwrap();
    for member in &change.joined {
        let row: Option<InstanceRow> = rows.value(&RowKeys::instance(member));
        let epoch = row.map(|row| row.epoch);
        assert!(
            epoch >= Some(change.group.epoch),
            "{member} is not claimed by the group"
        );
    }
}

async fn run(attempts: &[(StepAttempt, StepAttempt)], call_outcomes: &[CallOutcome]) {
    let table = Arc::new(FakeTable::default());
    table.rows.lock().unwrap().call_outcomes = call_outcomes.to_vec();
    let nodes = [node(&table), node(&table)];
    for (first, second) in attempts {
        let (first_result, second_result) = tokio::join!(
            run_attempt(&table, &nodes[0], first),
            run_attempt(&table, &nodes[1], second)
        );
        check_consistency(&table);
        match (first_result, second_result) {
            (Ok(Some(change)), Ok(None) | Err(_)) | (Ok(None) | Err(_), Ok(Some(change))) => {
                check_change(&table, &change);
            }
            _ => {}
        }
    }
}

#[test]
fn no_instance_is_in_two_groups_when_responses_are_lost() {
    let config = Config {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .unwrap();
    let strategy = (
        vec((step_attempt(), step_attempt()), 1..40),
        vec(call_outcome(), 0..60),
    );
    TestRunner::new(config)
        .run(&strategy, |(attempts, call_outcomes)| {
            runtime.block_on(run(&attempts, &call_outcomes));
            Ok(())
        })
        .unwrap();
}
