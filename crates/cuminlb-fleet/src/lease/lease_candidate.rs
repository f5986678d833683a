//! The decisions of a node that may hold a lease.

use cuminlb_types::prelude::*;
use tokio::time::Instant;

use super::{
    AbsentLease, HeldLease, LeaseAnswer, LeaseTiming, LeaseWrite, LeaseWriteOutcome, ObservedLease,
};
use crate::rows::LeaseRow;

/// A node that holds a lease or may acquire it.
///
/// The store may be restored from a copy that lacks the latest writes of the lease. A row that was
/// written in an earlier era than the store's tells nothing about who holds the lease: only the
/// holder of a lease that is still valid may write on it at once. All others wait until any lease
/// of an earlier era has certainly ended.
#[derive(Debug)]
pub struct LeaseCandidate {
    node: NodeId,
    incarnation: Incarnation,
    timing: LeaseTiming,
    /// How long the lease of another node may remain valid after a restoration.
    restored_wait_ms: Millis,
    /// The era in which this node first read the lease.
    first_era: Option<StoreEra>,
    absent: Option<AbsentLease>,
    seen: Option<ObservedLease<StoreVersion>>,
    held: Option<HeldLease<StoreVersion>>,
    /// When the first of the writes was sent that may have taken effect since the last answer.
    unanswered_since: Option<Instant>,
}

impl LeaseCandidate {
    /// Creates the state of a node that holds no lease. A holder extends its lease by at most
    /// `max_extension_ms` while the store is unavailable to all nodes.
    pub fn new(
        node: NodeId,
        incarnation: Incarnation,
        timing: LeaseTiming,
        max_extension_ms: Millis,
    ) -> Self {
        Self {
            node,
            incarnation,
            timing,
            restored_wait_ms: timing.length_ms + max_extension_ms,
            first_era: None,
            absent: None,
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
        self.first_era.get_or_insert(version.era);
        // The earlier incarnation of this node has ended, so nobody acts on its lease.
        let is_own = row.holder == self.node && row.incarnation != self.incarnation;
        let seen = ObservedLease::observe(self.seen.take(), version, row, now);
        let may_acquire = if seen.row.era == version.era {
            is_own || seen.is_released() || seen.has_expired(now)
        } else {
            now >= seen.first_seen_at + self.restored_wait_ms.duration()
        };
        self.seen = Some(seen);
        may_acquire
    }

    /// Records a read of a lease row that can't be decoded, and returns whether this node may replace
    /// it: the lease that it held before must have ended, whoever held it.
    pub fn may_replace_unreadable(&mut self, version: StoreVersion, now: Instant) -> bool {
        let row = LeaseRow {
            holder: self.node.clone(),
            incarnation: self.incarnation,
            // Each earlier lease has cost a version of the row.
            fencing: FencingNumber(version.row.get()),
            length_ms: self.restored_wait_ms,
            idle: false,
            era: version.era,
        };
        self.may_acquire(row, version, now)
    }

    /// Records a read of a table that has no lease row, and returns whether this node may acquire
    /// the lease. A restored table may have lost the row.
    pub fn may_acquire_absent(&mut self, era: StoreEra, now: Instant) -> bool {
        let first_era = *self.first_era.get_or_insert(era);
        let absent = AbsentLease::observe(self.absent.take(), era, now);
        self.absent = Some(absent);
        self.seen = None;
        era == first_era || now >= absent.first_seen_at + self.restored_wait_ms.duration()
    }

    /// Returns the write that acquires or renews the lease; a length of zero releases it.
    pub fn prepare_write(&self, length_ms: Millis, now: Instant) -> LeaseWrite {
        let (expected, fencing) = match (&self.held, &self.seen) {
            (Some(held), _) => (held.version, held.fencing),
            (None, Some(seen)) => (seen.version, seen.row.fencing.next()),
            (None, None) => {
                let era = self.absent.map(|absent| absent.era).unwrap_or_default();
                (StoreVersion::new(era, RowVersion(0)), FencingNumber(1))
            }
        };
        LeaseWrite {
            expected,
            row: LeaseRow {
                holder: self.node.clone(),
                incarnation: self.incarnation,
                fencing,
                length_ms,
                idle: length_ms == Millis(0),
                era: expected.era,
            },
            sent_at: now,
        }
    }

    /// Handles the answer to a write.
    pub fn handle_answer(
        &mut self,
        write: &LeaseWrite,
        answer: LeaseAnswer,
        now: Instant,
    ) -> LeaseWriteOutcome {
        match answer {
            LeaseAnswer::Written { version } => {
                self.unanswered_since = None;
                if version.era == write.row.era {
                    self.hold(write.row.fencing, version, write.sent_at)
                } else {
                    // The expected row version may have been given out again, to another row.
                    self.handle_restored(version, now)
                }
            }
            LeaseAnswer::Conflict { found, version } => {
                let sent_at = self.unanswered_since.take().unwrap_or(write.sent_at);
                self.handle_conflict(found, version, sent_at, now)
            }
            LeaseAnswer::Refused => LeaseWriteOutcome::Unknown,
            LeaseAnswer::Unknown => {
                self.unanswered_since.get_or_insert(write.sent_at);
                LeaseWriteOutcome::Unknown
            }
        }
    }

    /// Handles a row that was not as expected. Either another node holds the lease, or an earlier
    /// write of this node, sent at `sent_at` or later, took effect although its answer was lost, or
    /// the store was restored.
    fn handle_conflict(
        &mut self,
        found: Option<LeaseRow>,
        version: StoreVersion,
        sent_at: Instant,
        now: Instant,
    ) -> LeaseWriteOutcome {
        match found {
            Some(row) if row.era != version.era => self.handle_restored(version, now),
            None if version.row == RowVersion(0) => self.handle_restored(version, now),
            Some(row) if self.has_written(&row) => self.hold(row.fencing, version, sent_at),
            _ => self.lose(),
        }
    }

    /// Handles a row at `version` that is of an earlier era, or missing. While this node's lease is
    /// valid, no other node has acquired it.
    fn handle_restored(&mut self, version: StoreVersion, now: Instant) -> LeaseWriteOutcome {
        match &mut self.held {
            Some(held) if held.is_valid(now) => {
                held.version = version;
                LeaseWriteOutcome::Restored
            }
            _ => self.lose(),
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

    fn lose(&mut self) -> LeaseWriteOutcome {
        self.clear();
        LeaseWriteOutcome::Lost
    }

    /// Returns whether this incarnation of this node has written a row.
    fn has_written(&self, row: &LeaseRow) -> bool {
        row.holder == self.node && row.incarnation == self.incarnation
    }
}
