//! The transactions of two planners against a table that loses answers.

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

use crate::plan_table::{FakeTable, Fate};

const SEED: u64 = 0x0b0a_7005;

/// The number of instances.
const INSTANCES: usize = 8;

/// A step that a planner tries, sensible or not; numbers choose groups and instances.
#[derive(Clone, Debug)]
enum Try {
    Form { first: usize, count: usize },
    Repair { group: usize, first: usize },
    Drain { group: usize },
    Dissolve { group: usize },
    Mark { group: usize, drained: bool },
}

fn attempt() -> impl Strategy<Value = Try> {
    prop_oneof![
        3 => (0..INSTANCES, 1..4_usize).prop_map(|(first, count)| Try::Form { first, count }),
        2 => (0..4_usize, 0..INSTANCES).prop_map(|(group, first)| Try::Repair { group, first }),
        1 => (0..4_usize).prop_map(|group| Try::Drain { group }),
        2 => (0..4_usize).prop_map(|group| Try::Dissolve { group }),
        3 => (0..4_usize, any::<bool>()).prop_map(|(group, drained)| Try::Mark { group, drained }),
    ]
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        6 => Just(Fate::Answered),
        2 => Just(Fate::AnswerLost),
        1 => Just(Fate::CallLost),
        2 => Just(Fate::Late),
        1 => Just(Fate::Unreachable),
    ]
}

fn service() -> ServiceId {
    "m".parse().unwrap()
}

fn planned(first: usize, count: usize) -> Vec<PlannedMember> {
    let member = |offset| PlannedMember {
        instance: format!("m-i{}", (first + offset) % INSTANCES)
            .parse()
            .unwrap(),
        incarnation: Incarnation(1),
    };
    (0..count).map(member).collect()
}

/// Returns the step that a planner which has read this roster tries.
fn step(roster: &Roster, attempt: &Try) -> Option<PlanStep> {
    let group = |number: usize| roster.groups.get(number % roster.groups.len().max(1));
    match *attempt {
        Try::Form { first, count } => Some(PlanStep::Form {
            zone: "lami".parse().unwrap(),
            domain: "lami-fabric".parse().unwrap(),
            members: planned(first, count),
        }),
        Try::Repair { group: at, first } => group(at).map(|group| PlanStep::Repair {
            group: group.id.clone(),
            epoch: group.epoch,
            members: planned(first, group.members.len()),
        }),
        Try::Drain { group: at } => group(at).map(|group| PlanStep::Drain {
            group: group.id.clone(),
            epoch: group.epoch,
        }),
        Try::Dissolve { group: at } => group(at).map(|group| PlanStep::Dissolve {
            group: group.id.clone(),
            epoch: group.epoch,
        }),
        Try::Mark { .. } => None,
    }
}

/// Checks that the roster and the rows of the instances say the same at any moment.
fn check(table: &FakeTable) {
    let rows = table.rows.lock().unwrap();
    let roster: Roster = rows.value(&RowKeys::roster(&service())).unwrap_or_default();
    let mut members = BTreeMap::new();
    for group in &roster.groups {
        for member in &group.members {
            let other = members.insert(RowKeys::instance(member), group.id.clone());
            assert_eq!(other, None, "{member} is in two groups");
        }
    }
    let is_instance = |key: &&RowKey| key.as_str().starts_with("instance/");
    let written: BTreeMap<RowKey, GroupId> = rows
        .rows
        .keys()
        .filter(is_instance)
        .map(|key| (key.clone(), rows.value::<InstanceRow>(key).unwrap().group))
        .collect();
    assert_eq!(members, written);
}

fn node(table: &Arc<FakeTable>) -> Node {
    let text = include_str!("../../settings/node.toml");
    let (mut node, _released) = Node::new(NodeSettings::parse("node.toml", text).unwrap());
    node.table = TableClient::new(Arc::clone(table) as Arc<dyn TableService>);
    node
}

async fn attempt_once(
    table: &FakeTable,
    node: &Node,
    attempt: &Try,
) -> Result<Option<RosterChange>, TableError> {
    let service = service();
    let plans = PlanTransactions::new(node, &service);
    let roster = plans
        .read_roster()
        .await?
        .map(|row| row.value)
        .unwrap_or_default();
    if let Some(step) = step(&roster, attempt) {
        return plans.execute_step(&step).await;
    }
    let Try::Mark { group, drained } = attempt else {
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

/// Returns the version of a lease row, which is written where it is absent.
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

/// Checks that a planner was told the truth: what was committed stands in the table.
fn check_told(table: &FakeTable, change: &RosterChange) {
    let rows = table.rows.lock().unwrap();
    for member in &change.joined {
        let row: Option<InstanceRow> = rows.value(&RowKeys::instance(member));
        let epoch = row.map(|row| row.epoch);
        assert!(epoch >= Some(change.group.epoch), "{member} was claimed");
    }
}

async fn run(attempts: &[(Try, Try)], fates: &[Fate]) {
    let table = Arc::new(FakeTable::default());
    table.rows.lock().unwrap().fates = fates.to_vec();
    let nodes = [node(&table), node(&table)];
    for (first, second) in attempts {
        let (one, other) = tokio::join!(
            attempt_once(&table, &nodes[0], first),
            attempt_once(&table, &nodes[1], second)
        );
        check(&table);
        match (one, other) {
            (Ok(Some(change)), Ok(None) | Err(_)) | (Ok(None) | Err(_), Ok(Some(change))) => {
                check_told(&table, &change);
            }
            _ => {}
        }
    }
}

#[test]
fn no_instance_is_in_two_groups_when_answers_are_lost() {
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
    let strategy = (vec((attempt(), attempt()), 1..40), vec(fate(), 0..60));
    TestRunner::new(config)
        .run(&strategy, |(attempts, fates)| {
            runtime.block_on(run(&attempts, &fates));
            Ok(())
        })
        .unwrap();
}
