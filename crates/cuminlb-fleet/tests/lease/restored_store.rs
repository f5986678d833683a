//! A store of one lease row that is restored from earlier copies of itself.

use std::time::Duration;

use cuminlb_fleet::lease::{LeaseAnswer, LeaseWrite};
use cuminlb_fleet::rows::LeaseRow;
use cuminlb_types::prelude::*;
use tokio::time::Instant;

/// The state of the store at one moment.
#[derive(Clone, Debug)]
struct Copy {
    taken_at: Instant,
    last_version: RowVersion,
    row: Option<(LeaseRow, RowVersion)>,
}

/// A store of one lease row that is restored from earlier copies of itself.
#[derive(Debug)]
pub struct RestoredStore {
    pub era: StoreEra,
    copies: Vec<Copy>,
}

impl RestoredStore {
    pub fn new(now: Instant) -> Self {
        let empty = Copy {
            taken_at: now,
            last_version: RowVersion(1),
            row: None,
        };
        Self {
            era: StoreEra(1),
            copies: vec![empty],
        }
    }

    /// Returns the row with its version.
    pub fn read(&self) -> Option<(LeaseRow, StoreVersion)> {
        let (row, version) = self.state().row.clone()?;
        Some((row, StoreVersion::new(self.era, version)))
    }

    /// Returns what a sender is answered whose condition does not hold.
    pub fn conflict(&self) -> LeaseAnswer {
        let version = self.row_version();
        LeaseAnswer::Conflict {
            found: self.read().map(|(row, _)| row),
            version: StoreVersion::new(self.era, version),
        }
    }

    /// Carries a write out if the row has the expected row version, whichever era gave it.
    pub fn write(&mut self, write: &LeaseWrite, now: Instant) -> LeaseAnswer {
        if write.expected.row != self.row_version() {
            return self.conflict();
        }
        let version = self.state().last_version.next();
        self.copies.push(Copy {
            taken_at: now,
            last_version: version,
            row: Some((write.row.clone(), version)),
        });
        LeaseAnswer::Written {
            version: StoreVersion::new(self.era, version),
        }
    }

    /// Restores the state that the store had some time ago.
    pub fn restore(&mut self, age: Duration, now: Instant) {
        let mut older = self.copies.iter().rev();
        let older = older.find(|copy| now.duration_since(copy.taken_at) >= age);
        let copy = older.unwrap_or(&self.copies[0]).clone();
        self.copies.push(Copy {
            taken_at: now,
            ..copy
        });
        self.era = self.era.next();
    }

    /// Gives out some row versions to other rows.
    pub fn write_other_rows(&mut self, count: u64, now: Instant) {
        let mut copy = self.state().clone();
        copy.taken_at = now;
        copy.last_version = RowVersion(copy.last_version.get() + count);
        self.copies.push(copy);
    }

    fn row_version(&self) -> RowVersion {
        let row = self.state().row.as_ref();
        row.map(|(_, version)| *version).unwrap_or_default()
    }

    fn state(&self) -> &Copy {
        self.copies.last().unwrap()
    }
}
