//! Commits changes of the groups of one service to the table.

use cuminlb_events::{DissolveCause, EventKind};
use cuminlb_fleet::planning::{PlanStep, RosterChange};
use cuminlb_fleet::rows::{GroupRecord, GroupState, InstanceRow, Roster, RowKeys};
use cuminlb_platform::{CommitOutcome, Row, TableError, Transaction};
use cuminlb_types::prelude::*;

use super::fleet_poller::apply_roster;
use crate::node::Node;

/// The transactions that change the groups of one service.
///
/// Each transaction changes the roster and the rows of the instances atomically, so that no
/// instance is ever in two groups.
pub struct PlanTransactions<'a> {
    node: &'a Node,
    service: &'a ServiceId,
}

impl<'a> PlanTransactions<'a> {
    /// Creates transactions for the groups of a service.
    pub const fn new(node: &'a Node, service: &'a ServiceId) -> Self {
        Self { node, service }
    }

    /// Reads the current groups from the table.
    ///
    /// # Errors
    ///
    /// Returns [`TableError`] when the row cannot be read.
    pub async fn read_roster(&self) -> Result<Option<Row<Roster>>, TableError> {
        self.node.table.read(&RowKeys::roster(self.service)).await
    }

    /// Executes one step of a plan; returns the change if it was committed.
    ///
    /// # Errors
    ///
    /// Returns [`TableError`] when a table operation failed or its outcome is unknown.
    pub async fn execute_step(&self, step: &PlanStep) -> Result<Option<RosterChange>, TableError> {
        let row = self.read_roster().await?;
        let version = row.as_ref().map(|row| row.version);
        let roster = row.map(|row| row.value).unwrap_or_default();
        let Some(change) = RosterChange::of(self.service, &roster, step) else {
            return Ok(None);
        };
        let transaction = Transaction::new(self.node.table.new_operation_id());
        let committed = self.commit(transaction, version, &change).await?;
        if committed {
            self.record_step(step, &change.group);
        }
        Ok(committed.then_some(change))
    }

    /// Sets the state of a group as its owner, if the epoch is unchanged and the lease row is still
    /// as the owner last wrote it; returns whether the change was committed.
    ///
    /// # Errors
    ///
    /// Returns [`TableError`] when a table operation failed or its outcome is unknown.
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
            Transaction::new(self.node.table.new_operation_id()).check(lease, Some(lease_version));
        self.commit(transaction, Some(row.version), &change).await
    }

    /// Commits a change of the roster together with the rows of the instances that join or leave,
    /// and applies the roster to this node on success.
    async fn commit(
        &self,
        transaction: Transaction,
        version: Option<RowVersion>,
        change: &RosterChange,
    ) -> Result<bool, TableError> {
        let transaction = self.free_instances(transaction, &change.group.id, &change.freed);
        let transaction = self.claim_instances(transaction.await?, change)?;
        let transaction =
            transaction.put(RowKeys::roster(self.service), version, &change.roster)?;
        let timeout = self.node.settings.platform.timeout_ms.duration() * 2;
        match self.node.table.commit(&transaction, timeout).await? {
            CommitOutcome::Committed { version } => {
                apply_roster(self.node, self.service, version, change.roster.clone());
                Ok(true)
            }
            CommitOutcome::Conflict { .. } => Ok(false),
        }
    }

    /// Adds the rows of the instances that join. The commit conflicts if one of them is not free.
    fn claim_instances(
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

    /// Adds the deletion of the rows of the instances that leave a group.
    async fn free_instances(
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

    /// Records the event of a committed step, if there is one.
    fn record_step(&self, step: &PlanStep, group: &GroupRecord) {
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
