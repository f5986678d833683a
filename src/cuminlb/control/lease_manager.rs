//! Acquires, renews and releases one lease of the table on behalf of this node.

use std::sync::Arc;

use cuminlb_events::EventKind;
use cuminlb_fleet::freshness::TakeoverClearance;
use cuminlb_fleet::lease::{HeldLease, LeaseTiming, ObservedLease};
use cuminlb_fleet::rows::{LeaseRow, RowKeys};
use cuminlb_platform::{CommitOutcome, Row, TableError};
use cuminlb_types::prelude::*;
use log::debug;
use tokio::time::Instant;

use super::table_notices::notify_listed_nodes;
use crate::node::Node;

/// Manages one lease for a node: observes its row, and acquires, renews and releases the lease.
///
/// A lease that has expired is taken over only after at least half of the listed nodes have
/// acknowledged that the table is reachable, because its holder may be relying on an outage
/// extension.
pub struct LeaseManager {
    node: Arc<Node>,
    lease: LeaseName,
    timing: LeaseTiming,
    seen: Option<ObservedLease>,
    prior_holder_idle: bool,
}

/// The reason why a lease was not acquired or renewed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum LeaseError {
    /// Another node holds the lease.
    #[error("node {holder} holds the lease")]
    HeldBy {
        /// The holder.
        holder: NodeId,
    },
    /// The lease has expired, but too few nodes acknowledged that the table is reachable.
    #[error("only {notified} of {listed} listed nodes could be notified")]
    TooFewNotified {
        /// The number of nodes that acknowledged the notice, this one included.
        notified: usize,
        /// The number of listed nodes.
        listed: usize,
    },
    /// The outcome of a table operation is unknown, or the operation failed.
    #[error(transparent)]
    Table(#[from] TableError),
}

impl LeaseManager {
    /// Creates a manager that holds nothing yet.
    pub fn new(node: Arc<Node>, lease: LeaseName) -> Self {
        let control = &node.settings.control;
        let timing = LeaseTiming {
            length_ms: control.lease_length_ms,
            margin_ms: control.lease_margin_ms,
        };
        Self {
            node,
            lease,
            timing,
            seen: None,
            prior_holder_idle: false,
        }
    }

    /// Returns the length of the lease and the margin that its holder leaves unused.
    pub const fn timing(&self) -> &LeaseTiming {
        &self.timing
    }

    /// Reads the row, and acquires the lease if it is free or has certainly expired.
    ///
    /// # Errors
    ///
    /// Returns [`LeaseError`] when another node holds the lease, when too few nodes could be
    /// notified, or when a table operation failed or its outcome is unknown.
    pub async fn try_acquire(&mut self) -> Result<HeldLease, LeaseError> {
        let key = RowKeys::lease(&self.lease);
        let read_sent_at = Instant::now();
        let row = self.node.table.read::<LeaseRow>(&key).await?;
        self.node.freshness.record_contact();
        let now = Instant::now();
        let Some(row) = row else {
            return self.write(None, FencingNumber(1)).await;
        };
        let seen = ObservedLease::observe(self.seen.take(), row.version, row.value, now);
        let (version, fencing) = (seen.version, seen.row.fencing.next());
        let holder = seen.row.holder.clone();
        let is_released = seen.is_released();
        self.prior_holder_idle = is_released && seen.row.idle;
        let expires_at = seen.expires_at();
        self.seen = Some(seen);
        if is_released {
            return self.write(Some(version), fencing).await;
        }
        if now + self.node.freshness.bounds().report_validity_ms.duration() < expires_at {
            return Err(LeaseError::HeldBy { holder });
        }
        let clearance = self.obtain_clearance(read_sent_at, expires_at).await?;
        tokio::time::sleep_until(clearance.effective_at()).await;
        self.write(Some(version), fencing).await
    }

    /// Returns whether the previous holder released the lease with no request in flight.
    pub const fn prior_holder_idle(&self) -> bool {
        self.prior_holder_idle
    }

    /// Notifies the listed nodes that the table is reachable, until at least half of them know it.
    ///
    /// A clearance that was obtained for another lease is reused if it takes effect late enough for
    /// this one too.
    async fn obtain_clearance(
        &self,
        read_sent_at: Instant,
        expires_at: Instant,
    ) -> Result<TakeoverClearance, LeaseError> {
        let freshness = &self.node.freshness;
        let last = freshness.last_clearance();
        if let Some(last) = last.filter(|last| last.effective_at() >= expires_at) {
            return Ok(last);
        }
        let bounds = freshness.bounds();
        let deadline = read_sent_at + bounds.notice_round_ms.duration();
        let newest_config = freshness.table_report().newest_config;
        let acknowledged =
            notify_listed_nodes(&self.node, read_sent_at, newest_config, deadline).await;
        let (notified, listed) = (acknowledged.notified, acknowledged.listed);
        let clearance =
            TakeoverClearance::evaluate(read_sent_at, Instant::now(), notified, listed, bounds)
                .ok_or(LeaseError::TooFewNotified { notified, listed })?;
        freshness.store_clearance(clearance);
        Ok(clearance)
    }

    /// Extends a lease that this node holds.
    ///
    /// An earlier renewal whose response was lost may have changed the version of the row. The row
    /// then still has this node's incarnation and fencing number, and is written again at its new
    /// version.
    ///
    /// # Errors
    ///
    /// Returns [`LeaseError`] when another node holds the lease, or when a table operation failed
    /// or its outcome is unknown; the lease then stays valid until its end.
    pub async fn renew(&mut self, held: HeldLease) -> Result<HeldLease, LeaseError> {
        match self.write(Some(held.version), held.fencing).await {
            Err(LeaseError::HeldBy { holder }) if holder == *self.node.id() => {
                let key = RowKeys::lease(&self.lease);
                let row = self.node.table.read::<LeaseRow>(&key).await?;
                let is_own = |row: &Row<LeaseRow>| {
                    row.value == self.row(held.fencing, self.timing.length_ms)
                };
                match row.filter(is_own) {
                    Some(row) => self.write(Some(row.version), held.fencing).await,
                    None => Err(LeaseError::HeldBy { holder }),
                }
            }
            outcome => outcome,
        }
    }

    /// Releases a lease that this node holds, so that another node can acquire it at once; `idle`
    /// tells that node that no request is in flight.
    pub async fn release(&mut self, held: HeldLease, idle: bool) {
        let row = LeaseRow {
            idle,
            ..self.row(held.fencing, Millis(0))
        };
        let key = RowKeys::lease(&self.lease);
        let timeout = self.node.settings.platform.timeout_ms.duration();
        if let Err(error) = self
            .node
            .table
            .put(key, Some(held.version), &row, timeout)
            .await
        {
            debug!(
                "failed to release lease {}; it will expire: {error}",
                self.lease
            );
        }
        self.record_lost(held.fencing, "released");
    }

    /// Records in the event log that this node no longer holds the lease.
    pub fn record_lost(&self, fencing: FencingNumber, reason: &str) {
        let lease = self.lease.clone();
        self.node.events.record(EventKind::LeaseLost {
            lease,
            fencing,
            reason: reason.into(),
        });
    }

    /// Writes the row as its holder, and returns the lease as held from before the write was sent.
    async fn write(
        &mut self,
        expected: Option<RowVersion>,
        fencing: FencingNumber,
    ) -> Result<HeldLease, LeaseError> {
        let key = RowKeys::lease(&self.lease);
        let row = self.row(fencing, self.timing.length_ms);
        let sent_at = Instant::now();
        let timeout = self.timing.renewal_period_ms().duration();
        match self
            .node
            .table
            .put(key.clone(), expected, &row, timeout)
            .await?
        {
            CommitOutcome::Committed { version } => {
                self.node.freshness.record_contact();
                Ok(HeldLease::new(fencing, version, sent_at, &self.timing))
            }
            CommitOutcome::Conflict { .. } => {
                let row = self.node.table.read::<LeaseRow>(&key).await?;
                let holder = row.map_or_else(|| self.node.id().clone(), |row| row.value.holder);
                Err(LeaseError::HeldBy { holder })
            }
        }
    }

    /// Returns the row that names this node as the holder.
    fn row(&self, fencing: FencingNumber, length_ms: Millis) -> LeaseRow {
        let holder = self.node.id().clone();
        LeaseRow {
            holder,
            incarnation: self.node.incarnation,
            fencing,
            length_ms,
            idle: false,
            era: StoreEra::default(),
        }
    }
}
