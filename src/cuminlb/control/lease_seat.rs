//! [`LeaseSeat`].

use std::sync::Arc;

use cuminlb_events::EventKind;
use cuminlb_fleet::freshness::TakeoverClearance;
use cuminlb_fleet::lease::{HeldLease, LeaseTiming, ObservedLease};
use cuminlb_fleet::rows::{LeaseRow, RowKeys};
use cuminlb_platform::{CommitOutcome, Row, TableError};
use cuminlb_types::prelude::*;
use log::debug;
use tokio::time::Instant;

use super::gathering::gather;
use crate::node::Node;

/// A node's seat at one lease: it watches the row, takes the lease and renews it.
pub struct LeaseSeat {
    node: Arc<Node>,
    lease: LeaseName,
    terms: LeaseTiming,
    seen: Option<ObservedLease>,
    follows_idle: bool,
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
    /// The lease has lapsed, and too few nodes can be told that it will be taken over.
    #[error("only {told} of {listed} listed nodes could be told")]
    TooFewTold {
        /// The number of nodes that were told, this one included.
        told: usize,
        /// The number of listed nodes.
        listed: usize,
    },
    /// The table gave no certain answer.
    #[error(transparent)]
    Table(#[from] TableError),
}

impl LeaseSeat {
    /// Prepares a seat.
    pub fn new(node: Arc<Node>, lease: LeaseName) -> Self {
        let control = &node.settings.control;
        let terms = LeaseTiming {
            length_ms: control.lease_length_ms,
            margin_ms: control.lease_margin_ms,
        };
        Self {
            node,
            lease,
            terms,
            seen: None,
            follows_idle: false,
        }
    }

    /// Returns the length and margin of the lease.
    pub const fn terms(&self) -> &LeaseTiming {
        &self.terms
    }

    /// Looks at the row and takes the lease if it is free or has certainly lapsed.
    ///
    /// # Errors
    ///
    /// Returns [`SeatError`] when another node holds the lease or the table gave no answer.
    pub async fn try_acquire(&mut self) -> Result<HeldLease, SeatError> {
        let key = RowKeys::lease(&self.lease);
        let read_sent_at = Instant::now();
        let row = self.node.table.read::<LeaseRow>(&key).await?;
        self.node.knowledge.record_response();
        let now = Instant::now();
        let Some(row) = row else {
            return self.write(None, FencingNumber(1)).await;
        };
        let seen = ObservedLease::observe(self.seen.take(), row.version, row.value, now);
        let (version, fencing) = (seen.version, seen.row.fencing.next());
        let holder = seen.row.holder.clone();
        let is_released = seen.is_released();
        self.follows_idle = is_released && seen.row.idle;
        let expires_at = seen.expires_at();
        self.seen = Some(seen);
        if is_released {
            return self.write(Some(version), fencing).await;
        }
        if now + self.node.knowledge.bounds().report_validity_ms.duration() < expires_at {
            return Err(SeatError::HeldBy { holder });
        }
        let clearance = self.clear(read_sent_at, expires_at).await?;
        tokio::time::sleep_until(clearance.effective_at()).await;
        self.write(Some(version), fencing).await
    }

    /// Tells whether the holder before gave the lease up with nothing under way.
    pub const fn follows_idle(&self) -> bool {
        self.follows_idle
    }

    /// Tells half of the listed nodes that the table is heard, unless a clearance that was
    /// gathered for another lease serves for this one too.
    async fn clear(
        &self,
        read_sent_at: Instant,
        expires_at: Instant,
    ) -> Result<TakeoverClearance, SeatError> {
        let knowledge = &self.node.knowledge;
        let last = knowledge.last_clearance();
        if let Some(last) = last.filter(|last| last.effective_at() >= expires_at) {
            return Ok(last);
        }
        let bounds = knowledge.bounds();
        let deadline = read_sent_at + bounds.notice_round_ms.duration();
        let newest = knowledge.statement().newest_config;
        let gathered = gather(&self.node, read_sent_at, newest, deadline).await;
        let (told, listed) = (gathered.told, gathered.listed);
        let clearance =
            TakeoverClearance::evaluate(read_sent_at, Instant::now(), told, listed, bounds)
                .ok_or(SeatError::TooFewTold { told, listed })?;
        knowledge.keep_clearance(clearance);
        Ok(clearance)
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

    /// Ends a lease that this node holds, so that another node can take it at once; `idle` tells
    /// it that nothing is under way.
    pub async fn release(&mut self, held: HeldLease, idle: bool) {
        let row = LeaseRow {
            idle,
            ..self.row(held.fencing, Millis(0))
        };
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
                self.node.knowledge.record_response();
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
            idle: false,
        }
    }
}
