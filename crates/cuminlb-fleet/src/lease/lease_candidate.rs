//! The decisions of a node that may hold a lease.

use cuminlb_types::prelude::*;
use tokio::time::Instant;

use super::{HeldLease, LeaseAnswer, LeaseTiming, LeaseWrite, LeaseWriteOutcome, ObservedLease};
use crate::rows::LeaseRow;

/// A node that holds a lease or may acquire it.
#[derive(Debug)]
pub struct LeaseCandidate {
    node: NodeId,
    incarnation: Incarnation,
    timing: LeaseTiming,
    seen: Option<ObservedLease<StoreVersion>>,
    held: Option<HeldLease<StoreVersion>>,
    /// When the first of the writes was sent that may have taken effect since the last answer.
    unanswered_since: Option<Instant>,
}

impl LeaseCandidate {
    /// Creates the state of a node that holds no lease.
    pub const fn new(node: NodeId, incarnation: Incarnation, timing: LeaseTiming) -> Self {
        Self {
            node,
            incarnation,
            timing,
            seen: None,
            held: None,
            unanswered_since: None,
        }
    }

    /// Returns the lease that this node holds, whether or not it is still valid.
    pub const fn held(&self) -> Option<&HeldLease<StoreVersion>> {
        self.held.as_ref()
    }

    /// Extends the validity of the lease to a later time.
    pub fn extend(&mut self, until: Instant) {
        if let Some(held) = &mut self.held {
            held.valid_until = held.valid_until.max(until);
        }
    }

    /// Drops the lease without writing its row.
    pub fn clear(&mut self) {
        self.held = None;
        self.seen = None;
    }

    /// Records a read of the lease row, and returns whether this node may acquire the lease.
    pub fn may_acquire(&mut self, row: LeaseRow, version: StoreVersion, now: Instant) -> bool {
        // The earlier incarnation of this node has ended, so nobody acts on its lease.
        let is_own = row.holder == self.node && row.incarnation != self.incarnation;
        let seen = ObservedLease::observe(self.seen.take(), version, row, now);
        let may_acquire = is_own || seen.is_released() || seen.has_expired(now);
        self.seen = Some(seen);
        may_acquire
    }

    /// Returns the write that acquires or renews the lease; a length of zero releases it.
    pub fn prepare_write(&self, length_ms: Millis, now: Instant) -> LeaseWrite {
        let (expected, fencing) = match (&self.held, &self.seen) {
            (Some(held), _) => (held.version, held.fencing),
            (None, Some(seen)) => (seen.version, seen.row.fencing.next()),
            (None, None) => (StoreVersion::default(), FencingNumber(1)),
        };
        LeaseWrite {
            expected,
            row: LeaseRow {
                holder: self.node.clone(),
                incarnation: self.incarnation,
                fencing,
                length_ms,
                idle: length_ms == Millis(0),
            },
            sent_at: now,
        }
    }

    /// Handles the answer to a write.
    pub fn handle_answer(&mut self, write: &LeaseWrite, answer: LeaseAnswer) -> LeaseWriteOutcome {
        match answer {
            LeaseAnswer::Written { version } => {
                self.unanswered_since = None;
                self.hold(write.row.fencing, version, write.sent_at)
            }
            LeaseAnswer::Conflict { found } => {
                let sent_at = self.unanswered_since.take().unwrap_or(write.sent_at);
                self.handle_conflict(found, sent_at)
            }
            LeaseAnswer::Refused => LeaseWriteOutcome::Unknown,
            LeaseAnswer::Unknown => {
                self.unanswered_since.get_or_insert(write.sent_at);
                LeaseWriteOutcome::Unknown
            }
        }
    }

    /// Handles a row that was not as expected. Either another node holds the lease, or an earlier
    /// write of this node, sent at `sent_at` or later, took effect although its answer was lost.
    fn handle_conflict(
        &mut self,
        found: Option<(LeaseRow, StoreVersion)>,
        sent_at: Instant,
    ) -> LeaseWriteOutcome {
        match found {
            Some((row, version)) if self.has_written(&row) => {
                self.hold(row.fencing, version, sent_at)
            }
            _ => {
                self.clear();
                LeaseWriteOutcome::Lost
            }
        }
    }

    fn hold(
        &mut self,
        fencing: FencingNumber,
        version: StoreVersion,
        sent_at: Instant,
    ) -> LeaseWriteOutcome {
        self.held = Some(HeldLease::new(fencing, version, sent_at, &self.timing));
        LeaseWriteOutcome::Held
    }

    /// Returns whether this incarnation of this node has written a row.
    fn has_written(&self, row: &LeaseRow) -> bool {
        row.holder == self.node && row.incarnation == self.incarnation
    }
}
