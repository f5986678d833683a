//! [`LeaseSeat`].

use std::sync::Arc;

use cuminlb_events::EventKind;
use cuminlb_fleet::lease::{HeldLease, LeaseTerms, SeenLease};
use cuminlb_fleet::rows::{LeaseRow, RowKeys};
use cuminlb_platform::{CommitOutcome, Row, TableError};
use cuminlb_types::prelude::*;
use log::debug;
use tokio::time::Instant;

use crate::node::Node;

/// A node's seat at one lease: it watches the row, takes the lease and renews it.
pub struct LeaseSeat {
    node: Arc<Node>,
    lease: LeaseName,
    terms: LeaseTerms,
    seen: Option<SeenLease>,
}

/// The reason why a lease was not taken or renewed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum SeatError {
    /// Another node holds the lease.
    #[error("node {holder} holds the lease")]
    HeldBy {
        /// The holder.
        holder: NodeId,
    },
    /// The table gave no certain answer.
    #[error(transparent)]
    Table(#[from] TableError),
}

impl LeaseSeat {
    /// Prepares a seat.
    pub fn new(node: Arc<Node>, lease: LeaseName) -> Self {
        let control = &node.settings.control;
        let terms = LeaseTerms {
            length_ms: control.lease_length_ms,
            margin_ms: control.lease_margin_ms,
        };
        Self {
            node,
            lease,
            terms,
            seen: None,
        }
    }

    /// Returns the length and margin of the lease.
    pub const fn terms(&self) -> &LeaseTerms {
        &self.terms
    }

    /// Looks at the row and takes the lease if it is free or has certainly lapsed.
    ///
    /// # Errors
    ///
    /// Returns [`SeatError`] when another node holds the lease or the table gave no answer.
    pub async fn try_acquire(&mut self) -> Result<HeldLease, SeatError> {
        let key = RowKeys::lease(&self.lease);
        let row = self.node.table.read::<LeaseRow>(&key).await?;
        let now = Instant::now();
        let Some(row) = row else {
            return self.write(None, FencingNumber(1)).await;
        };
        let seen = SeenLease::note(self.seen.take(), row.version, row.value, now);
        let holder = seen.row.holder.clone();
        let lapsed = seen.has_lapsed(now);
        let (version, fencing) = (seen.version, seen.row.fencing.next());
        self.seen = Some(seen);
        if lapsed {
            self.write(Some(version), fencing).await
        } else {
            Err(SeatError::HeldBy { holder })
        }
    }

    /// Extends a lease that this node holds.
    ///
    /// An earlier renewal whose answer was lost has changed the version of the row; the row then
    /// still names this holding and is written again at its new version.
    ///
    /// # Errors
    ///
    /// Returns [`SeatError`] when another node holds the lease or the table gave no answer; the
    /// lease then stays valid until its end.
    pub async fn renew(&mut self, held: HeldLease) -> Result<HeldLease, SeatError> {
        match self.write(Some(held.version), held.fencing).await {
            Err(SeatError::HeldBy { holder }) if holder == *self.node.id() => {
                let key = RowKeys::lease(&self.lease);
                let row = self.node.table.read::<LeaseRow>(&key).await?;
                let same =
                    |row: &Row<LeaseRow>| row.value == self.row(held.fencing, self.terms.length_ms);
                match row.filter(same) {
                    Some(row) => self.write(Some(row.version), held.fencing).await,
                    None => Err(SeatError::HeldBy { holder }),
                }
            }
            outcome => outcome,
        }
    }

    /// Ends a lease that this node holds, so that another node can take it at once.
    pub async fn release(&mut self, held: HeldLease) {
        let row = self.row(held.fencing, Millis(0));
        let key = RowKeys::lease(&self.lease);
        let within = self.node.settings.platform.timeout_ms.duration();
        if let Err(error) = self
            .node
            .table
            .put(key, Some(held.version), &row, within)
            .await
        {
            debug!(
                "lease {} was not released and will lapse: {error}",
                self.lease
            );
        }
        self.note_lost(held.fencing, "released");
    }

    /// Records that a lease ended.
    pub fn note_lost(&self, fencing: FencingNumber, reason: &str) {
        let lease = self.lease.clone();
        self.node.events.record(EventKind::LeaseLost {
            lease,
            fencing,
            reason: reason.into(),
        });
    }

    async fn write(
        &mut self,
        expected: Option<RowVersion>,
        fencing: FencingNumber,
    ) -> Result<HeldLease, SeatError> {
        let key = RowKeys::lease(&self.lease);
        let row = self.row(fencing, self.terms.length_ms);
        let sent_at = Instant::now();
        let within = self.terms.renewal_period_ms().duration();
        match self
            .node
            .table
            .put(key.clone(), expected, &row, within)
            .await?
        {
            CommitOutcome::Committed { version } => {
                Ok(HeldLease::new(fencing, version, sent_at, &self.terms))
            }
            CommitOutcome::Conflict { .. } => {
                let row = self.node.table.read::<LeaseRow>(&key).await?;
                let holder = row.map_or_else(|| self.node.id().clone(), |row| row.value.holder);
                Err(SeatError::HeldBy { holder })
            }
        }
    }

    fn row(&self, fencing: FencingNumber, length_ms: Millis) -> LeaseRow {
        let holder = self.node.id().clone();
        LeaseRow {
            holder,
            incarnation: self.node.incarnation,
            fencing,
            length_ms,
        }
    }
}
