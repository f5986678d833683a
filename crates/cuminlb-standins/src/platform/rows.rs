//! The rows of the table stand-in, with conditional transactions.

use std::collections::BTreeMap;

use cuminlb_platform::{
    CommitOutcome, Expected, RowChange, RowCheck, RowQuery, RowResponse, Transaction,
};
use cuminlb_types::prelude::*;

/// The rows of the table; each transaction is checked and written atomically.
#[derive(Debug, Default)]
pub(super) struct Rows {
    last_version: RowVersion,
    rows: BTreeMap<RowKey, (RowVersion, String)>,
}

impl Rows {
    pub(super) fn read(&self, queries: &[RowQuery]) -> Vec<RowResponse> {
        queries.iter().map(|query| self.read_row(query)).collect()
    }

    pub(super) fn commit(&mut self, transaction: Transaction) -> CommitOutcome {
        let failed_check = transaction
            .checks
            .iter()
            .find(|check| !self.is_satisfied(check));
        if let Some(RowCheck { key, .. }) = failed_check {
            return CommitOutcome::Conflict {
                key: key.clone(),
                found: self.version(key),
            };
        }
        self.last_version = self.last_version.next();
        for write in transaction.writes {
            match write.change {
                RowChange::Put(text) => {
                    self.rows.insert(write.key, (self.last_version, text));
                }
                RowChange::Delete => {
                    self.rows.remove(&write.key);
                }
            }
        }
        CommitOutcome::Committed {
            version: self.last_version,
        }
    }

    fn read_row(&self, query: &RowQuery) -> RowResponse {
        match self.rows.get(&query.key) {
            None => RowResponse::Absent,
            Some((version, _)) if Some(*version) == query.known => RowResponse::Unchanged,
            Some((version, text)) => RowResponse::Found {
                version: *version,
                text: text.clone(),
            },
        }
    }

    fn is_satisfied(&self, check: &RowCheck) -> bool {
        match check.expected {
            Expected::Absent => !self.rows.contains_key(&check.key),
            Expected::Version(version) => self.version(&check.key) == Some(version),
        }
    }

    fn version(&self, key: &RowKey) -> Option<RowVersion> {
        self.rows.get(key).map(|(version, _)| *version)
    }
}
