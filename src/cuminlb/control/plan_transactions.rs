//! [`PlanTransactions`].

use cuminlb_events::{DissolveCause, EventKind};
use cuminlb_fleet::planning::{PlanStep, RosterChange};
use cuminlb_fleet::rows::{GroupRecord, GroupState, InstanceRow, Roster, RowKeys};
use cuminlb_platform::{CommitOutcome, Row, TableError, Transaction};
use cuminlb_types::prelude::*;

use super::fleet_poller::put_roster;
use crate::node::Node;

/// The transactions that change the groups of one service.
///
/// Each changes the roster and the rows of the instances together, so that no instance is ever
/// in two groups.
pub struct PlanTransactions<'a> {
    node: &'a Node,
    service: &'a ServiceId,
}

impl<'a> PlanTransactions<'a> {
    /// Prepares transactions on the groups of a service.
    pub const fn new(node: &'a Node, service: &'a ServiceId) -> Self {
        Self { node, service }
    }

    /// Reads the groups as they are now.
    ///
    /// # Errors
    ///
    /// Returns [`TableError`] when the row can't be read.
    pub async fn read_roster(&self) -> Result<Option<Row<Roster>>, TableError> {
        self.node.table.read(&RowKeys::roster(self.service)).await
    }

    /// Carries out one step of a plan; returns what it changed if it was committed.
    ///
    /// # Errors
    ///
    /// Returns [`TableError`] when the table gave no certain answer.
    pub async fn carry_out(&self, step: &PlanStep) -> Result<Option<RosterChange>, TableError> {
        let row = self.read_roster().await?;
        let version = row.as_ref().map(|row| row.version);
        let roster = row.map(|row| row.value).unwrap_or_default();
        let Some(change) = RosterChange::of(self.service, &roster, step) else {
            return Ok(None);
        };
        let transaction = Transaction::new(self.node.table.new_operation());
        let committed = self.commit(transaction, version, &change).await?;
        if committed {
            self.note_step(step, &change.group);
        }
        Ok(committed.then_some(change))
    }

    /// Moves a group to another state as its owner, if its epoch is still the same and the lease
    /// row is as its owner last wrote it; returns whether it was committed.
    ///
    /// # Errors
    ///
    /// Returns [`TableError`] when the table gave no certain answer.
    pub async fn change_state(
        &self,
        record: &GroupRecord,
        state: GroupState,
        lease_version: RowVersion,
    ) -> Result<bool, TableError> {
        let Some(row) = self.read_roster().await? else {
            return Ok(false);
        };
        let change = RosterChange::change_state(&row.value, &record.id, record.epoch, state);
        let Some(change) = change else {
            return Ok(false);
        };
        let lease = RowKeys::lease(&RowKeys::group_lease(&record.id));
        let transaction =
            Transaction::new(self.node.table.new_operation()).check(lease, Some(lease_version));
        self.commit(transaction, Some(row.version), &change).await
    }

    /// Commits a change of the roster with the rows of the instances that join or leave, and
    /// takes the roster in on success.
    async fn commit(
        &self,
        transaction: Transaction,
        version: Option<RowVersion>,
        change: &RosterChange,
    ) -> Result<bool, TableError> {
        let transaction = self.free(transaction, &change.group.id, &change.freed);
        let transaction = self.claim(transaction.await?, change)?;
        let transaction =
            transaction.put(RowKeys::roster(self.service), version, &change.roster)?;
        let within = self.node.settings.platform.timeout_ms.duration() * 2;
        match self.node.table.commit(&transaction, within).await? {
            CommitOutcome::Committed { version } => {
                put_roster(self.node, self.service, version, change.roster.clone());
                Ok(true)
            }
            CommitOutcome::Conflict { .. } => Ok(false),
        }
    }

    /// Adds the rows of the instances that join; each must be free.
    fn claim(
        &self,
        mut transaction: Transaction,
        change: &RosterChange,
    ) -> Result<Transaction, TableError> {
        let row = InstanceRow {
            service: self.service.clone(),
            group: change.group.id.clone(),
            epoch: change.group.epoch,
        };
        for member in &change.joined {
            transaction = transaction.put(RowKeys::instance(member), None, &row)?;
        }
        Ok(transaction)
    }

    /// Adds the removal of the rows of instances that leave a group.
    async fn free(
        &self,
        mut transaction: Transaction,
        group: &GroupId,
        members: &[InstanceId],
    ) -> Result<Transaction, TableError> {
        if members.is_empty() {
            return Ok(transaction);
        }
        let keys: Vec<RowKey> = members.iter().map(RowKeys::instance).collect();
        let rows = self.node.table.read_many::<InstanceRow>(&keys).await?;
        for (key, row) in keys.into_iter().zip(rows) {
            if let Some(row) = row.filter(|row| row.value.group == *group) {
                transaction = transaction.delete(key, row.version);
            }
        }
        Ok(transaction)
    }

    fn note_step(&self, step: &PlanStep, group: &GroupRecord) {
        let (id, epoch) = (group.id.clone(), group.epoch);
        let kind = match (step, &group.state) {
            (PlanStep::Form { .. } | PlanStep::Repair { .. }, _) => EventKind::GroupFormed {
                service: self.service.clone(),
                group: id,
                epoch,
                members: group.members.clone(),
            },
            (PlanStep::Dissolve { .. }, GroupState::Drained) => EventKind::GroupDissolved {
                service: self.service.clone(),
                group: id,
                epoch,
                cause: DissolveCause::NotWanted,
            },
            (PlanStep::Drain { .. } | PlanStep::Dissolve { .. }, _) => return,
        };
        self.node.events.record(kind);
    }
}
