//! [`PlanTransactions`].

use cuminlb_events::EventKind;
use cuminlb_fleet::planning::PlanStep;
use cuminlb_fleet::rows::{GroupRecord, GroupState, InstanceRow, Roster, RowKeys};
use cuminlb_platform::{CommitOutcome, Row, TableError, Transaction};
use cuminlb_types::prelude::*;
use smol_str::format_smolstr;

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

    /// Carries out one step of a plan; returns whether it was committed.
    ///
    /// # Errors
    ///
    /// Returns [`TableError`] when the table gave no certain answer.
    pub async fn carry_out(&self, step: PlanStep) -> Result<bool, TableError> {
        match step {
            PlanStep::Form {
                zone,
                domain,
                members,
            } => self.form(zone, domain, members).await,
            PlanStep::Repair { group, members } => self.repair(&group, members).await,
            PlanStep::Dissolve { group } => self.dissolve(&group).await,
        }
    }

    /// Marks a group broken, if its epoch is still the same and the lease row is as its owner
    /// last wrote it; returns whether it was committed.
    ///
    /// # Errors
    ///
    /// Returns [`TableError`] when the table gave no certain answer.
    pub async fn mark_broken(
        &self,
        record: &GroupRecord,
        missing: Vec<InstanceId>,
        lease_version: RowVersion,
    ) -> Result<bool, TableError> {
        let Some(mut row) = self.read_roster().await? else {
            return Ok(false);
        };
        let groups = &mut row.value.groups;
        let Some(group) = groups.iter_mut().find(|group| *group == record) else {
            return Ok(false);
        };
        group.state = GroupState::Broken { missing };
        let lease = RowKeys::lease(&RowKeys::group_lease(&record.id));
        let transaction =
            Transaction::new(self.node.table.new_operation()).check(lease, Some(lease_version));
        self.commit(transaction, Some(row.version), row.value).await
    }

    async fn form(
        &self,
        zone: ZoneId,
        domain: FabricDomainId,
        members: Vec<InstanceId>,
    ) -> Result<bool, TableError> {
        let row = self.read_roster().await?;
        let version = row.as_ref().map(|row| row.version);
        let mut roster = row.map(|row| row.value).unwrap_or_default();
        let epoch = roster.next_epoch.next();
        let Some(id) = self.group_id(epoch) else {
            return Ok(false);
        };
        roster.next_epoch = epoch;
        let group = GroupRecord {
            id,
            epoch,
            zone,
            domain,
            members,
            state: GroupState::Intact,
        };
        let mut transaction = Transaction::new(self.node.table.new_operation());
        for member in &group.members {
            let value = self.instance_row(&group);
            transaction = transaction.put(RowKeys::instance(member), None, &value)?;
        }
        roster.groups.push(group.clone());
        let committed = self.commit(transaction, version, roster).await?;
        if committed {
            self.note_formed(&group);
        }
        Ok(committed)
    }

    async fn repair(&self, id: &GroupId, members: Vec<InstanceId>) -> Result<bool, TableError> {
        let Some(row) = self.read_roster().await? else {
            return Ok(false);
        };
        let mut roster = row.value;
        let epoch = roster.next_epoch.next();
        roster.next_epoch = epoch;
        let Some(group) = roster.groups.iter_mut().find(|group| group.id == *id) else {
            return Ok(false);
        };
        let before = std::mem::replace(&mut group.members, members);
        group.epoch = epoch;
        group.state = GroupState::Intact;
        let group = group.clone();
        let transaction = Transaction::new(self.node.table.new_operation());
        let gone = before
            .iter()
            .filter(|member| !group.members.contains(member));
        let mut transaction = self.free(transaction, id, gone).await?;
        for member in group
            .members
            .iter()
            .filter(|member| !before.contains(member))
        {
            let value = self.instance_row(&group);
            transaction = transaction.put(RowKeys::instance(member), None, &value)?;
        }
        let committed = self.commit(transaction, Some(row.version), roster).await?;
        if committed {
            self.note_formed(&group);
        }
        Ok(committed)
    }

    async fn dissolve(&self, id: &GroupId) -> Result<bool, TableError> {
        let Some(row) = self.read_roster().await? else {
            return Ok(false);
        };
        let mut roster = row.value;
        let Some(at) = roster.groups.iter().position(|group| group.id == *id) else {
            return Ok(false);
        };
        let group = roster.groups.remove(at);
        let transaction = Transaction::new(self.node.table.new_operation());
        let transaction = self.free(transaction, id, group.members.iter()).await?;
        self.commit(transaction, Some(row.version), roster).await
    }

    /// Adds the removal of the rows of instances that leave a group.
    async fn free(
        &self,
        mut transaction: Transaction,
        group: &GroupId,
        members: impl Iterator<Item = &InstanceId>,
    ) -> Result<Transaction, TableError> {
        let keys: Vec<RowKey> = members.map(RowKeys::instance).collect();
        let rows = self.node.table.read_many::<InstanceRow>(&keys).await?;
        for (key, row) in keys.into_iter().zip(rows) {
            if let Some(row) = row.filter(|row| row.value.group == *group) {
                transaction = transaction.delete(key, row.version);
            }
        }
        Ok(transaction)
    }

    /// Commits a transaction together with the new roster, and takes the roster in on success.
    async fn commit(
        &self,
        transaction: Transaction,
        version: Option<RowVersion>,
        roster: Roster,
    ) -> Result<bool, TableError> {
        let transaction = transaction.put(RowKeys::roster(self.service), version, &roster)?;
        let within = self.node.settings.platform.timeout_ms.duration() * 2;
        match self.node.table.commit(&transaction, within).await? {
            CommitOutcome::Committed { version } => {
                put_roster(self.node, self.service, version, roster);
                Ok(true)
            }
            CommitOutcome::Conflict { .. } => Ok(false),
        }
    }

    fn group_id(&self, epoch: Epoch) -> Option<GroupId> {
        format_smolstr!("{}-{epoch}", self.service).parse().ok()
    }

    fn instance_row(&self, group: &GroupRecord) -> InstanceRow {
        InstanceRow {
            service: self.service.clone(),
            group: group.id.clone(),
            epoch: group.epoch,
        }
    }

    fn note_formed(&self, group: &GroupRecord) {
        self.node.events.record(EventKind::GroupFormed {
            service: self.service.clone(),
            group: group.id.clone(),
            epoch: group.epoch,
            members: group.members.clone(),
        });
    }
}
