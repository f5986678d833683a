//! Mirrors that get updates of several eras of a restored store, late and in any order.

use cuminlb_catalog::{RowChangeSet, SharedRow, StoreTable};
use cuminlb_peer::RelayedTable;
use cuminlb_replica::TableMirror;
use cuminlb_types::prelude::*;
use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::RngSeed;

use crate::era_history::{EraHistory, LARGE_VALUE_BYTES};
use crate::simulated_fleet::{key, node_id};

const TABLE: StoreTable = StoreTable::Desired;

/// The seed and the least number of random runs.
const SEED: u64 = 19;
const CASES: u32 = 512;

/// The number of mirrors and of keys.
const MIRRORS: usize = 3;
const KEYS: usize = 4;

/// One step of a run.
#[derive(Clone, Debug)]
enum Step {
    Write {
        key: usize,
        content: Option<(u8, bool)>,
    },
    TakeCopy,
    Restore,
    /// The store answers a mirror that reads the table, its changes, or a row that was announced.
    Read(usize),
    ReadChanges(usize),
    ReadPending(usize),
    /// A mirror answers another one.
    Relay {
        from: usize,
        to: usize,
    },
    /// An answer arrives, possibly again.
    Deliver {
        answer: Index,
        is_kept: bool,
    },
    /// A node starts anew.
    Forget(usize),
}

/// An answer that is under way.
#[derive(Clone, Debug)]
enum Answer {
    Changes(RowChangeSet),
    Relayed(RelayedTable),
    Row(SharedRow),
}

fn step() -> impl Strategy<Value = Step> {
    let content = proptest::option::weighted(0.8, (0..3_u8, any::<bool>()));
    let deliver = (any::<Index>(), proptest::bool::weighted(0.2));
    prop_oneof![
        4 => (0..KEYS, content).prop_map(|(key, content)| Step::Write { key, content }),
        1 => Just(Step::TakeCopy),
        1 => Just(Step::Restore),
        2 => (0..MIRRORS).prop_map(Step::Read),
        3 => (0..MIRRORS).prop_map(Step::ReadChanges),
        2 => (0..MIRRORS).prop_map(Step::ReadPending),
        5 => (0..MIRRORS, 0..MIRRORS).prop_map(|(from, to)| Step::Relay { from, to }),
        9 => deliver.prop_map(|(answer, is_kept)| Step::Deliver { answer, is_kept }),
        1 => (0..MIRRORS).prop_map(Step::Forget),
    ]
}

/// The store, the mirrors, and the answers that are under way.
#[derive(Debug, Default)]
struct World {
    store: EraHistory,
    mirrors: [TableMirror; MIRRORS],
    answers: Vec<(usize, Answer)>,
}

impl World {
    fn take(&mut self, step: Step) {
        match step {
            Step::Write { key, content } => {
                let value = content.map(|(byte, is_large)| {
                    vec![byte; if is_large { LARGE_VALUE_BYTES } else { 3 }]
                });
                self.store.write(&row_key(key), value);
            }
            Step::TakeCopy => self.store.take_copy(),
            Step::Restore => self.store.restore(),
            Step::Read(mirror) => {
                let answer = Answer::Changes(self.store.whole());
                self.answers.push((mirror, answer));
            }
            Step::ReadChanges(mirror) => {
                let cursor = self.mirrors[mirror].version();
                let has_cursor = cursor.row > RowVersion(0);
                let changes = self.store.changes_after(cursor).filter(|_| has_cursor);
                let answer = changes.map(|changes| (mirror, Answer::Changes(changes)));
                self.answers.extend(answer);
            }
            Step::ReadPending(mirror) => {
                let row = self.pending_row(mirror);
                self.answers
                    .extend(row.map(|row| (mirror, Answer::Row(row))));
            }
            Step::Relay { from, to } => {
                let cursor = self.mirrors[to].version();
                let relayed = relayed(&mut self.mirrors[from], cursor);
                self.answers.push((to, Answer::Relayed(relayed)));
            }
            Step::Deliver { answer, is_kept } => self.deliver_one(&answer, is_kept),
            Step::Forget(mirror) => {
                self.mirrors[mirror] = TableMirror::default();
                self.answers.retain(|(to, _)| *to != mirror);
            }
        }
    }

    fn deliver_one(&mut self, answer: &Index, is_kept: bool) {
        if self.answers.is_empty() {
            return;
        }
        let position = answer.index(self.answers.len());
        let (mirror, answer) = if is_kept {
            self.answers[position].clone()
        } else {
            self.answers.swap_remove(position)
        };
        self.deliver(mirror, answer);
    }

    /// Returns the announced row as the store has it, if it is of the era of the announcement.
    fn pending_row(&self, mirror: usize) -> Option<SharedRow> {
        let pending = self.mirrors[mirror].next_pending(TABLE)?;
        let row = self.store.row(&pending.key)?;
        let is_usable = row.version.era == pending.version.era && row.version >= pending.version;
        is_usable.then(|| row.clone())
    }

    fn deliver(&mut self, index: usize, answer: Answer) {
        let mirror = &mut self.mirrors[index];
        let version_before = mirror.version();
        let complete_before = mirror.complete_version();
        let rows = match answer {
            Answer::Changes(changes) => mirror.apply(changes),
            Answer::Relayed(relayed) => mirror.apply_relayed(relayed, &node_id(1)),
            Answer::Row(row) => mirror.apply_row(row),
        };
        let version = mirror.version();
        assert!(
            version >= version_before,
            "{version} after {version_before}"
        );
        assert!(mirror.complete_version().era >= complete_before.era);
        for row in &rows {
            assert_eq!(row.version.era, version.era, "a new row of another era");
        }
        self.check(index);
    }

    /// Checks that a mirror has what it states to have, and gives peers rows of one era only.
    fn check(&mut self, index: usize) {
        let mirror = &mut self.mirrors[index];
        let complete = mirror.complete_version();
        let (_, rows) = mirror.relayed_since(StoreVersion::default());
        assert!(rows.iter().all(|row| row.version.era == complete.era));
        assert_eq!(complete.era, mirror.version().era);
        if complete.row == RowVersion(0) {
            return;
        }
        for key in (0..KEYS).map(row_key) {
            let known = mirror.row(&key);
            let is_allowed = self.store.allows(&key, complete, known);
            assert!(is_allowed, "{key} at {complete}: {known:?}");
        }
    }

    /// Gives a mirror what the store has now, and all announced values.
    fn settle(&mut self, index: usize) {
        self.deliver(index, Answer::Changes(self.store.whole()));
        while let Some(row) = self.pending_row(index) {
            self.deliver(index, Answer::Row(row));
        }
        let mirror = &self.mirrors[index];
        assert_eq!(mirror.complete_version(), self.store.version());
        for key in (0..KEYS).map(row_key) {
            assert_eq!(mirror.row(&key), self.store.row(&key));
        }
    }
}

fn row_key(number: usize) -> RowKey {
    key(&format!("row-{number}"))
}

fn relayed(from: &mut TableMirror, after: StoreVersion) -> RelayedTable {
    let (is_whole, rows) = from.relayed_since(after);
    RelayedTable {
        table: TABLE,
        is_whole,
        rows,
        version: from.complete_version(),
        heard_ms: Millis(0),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        cases: CASES.max(ProptestConfig::default().cases),
        ..ProptestConfig::default()
    })]

    #[test]
    fn mirrors_never_mix_eras_and_converge_to_the_newest(
        steps in proptest::collection::vec(step(), 1..120),
    ) {
        let mut world = World::default();
        for step in steps {
            world.take(step);
        }
        for index in 0..MIRRORS {
            world.settle(index);
        }
        // What was under way before the last restoration changes nothing.
        let last: Vec<_> = world.answers.drain(..).collect();
        for (mirror, answer) in last {
            world.deliver(mirror, answer);
            world.settle(mirror);
        }
    }
}
