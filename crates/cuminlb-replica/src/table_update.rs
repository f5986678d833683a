//! An update of one table.

use std::collections::{BTreeMap, BTreeSet};

use cuminlb_catalog::RowChangeSet;
use cuminlb_types::prelude::*;

use crate::announcement::Announcement;

/// Rows of one table, and large values of which a peer has given only the description.
#[derive(Clone, Debug, Default)]
pub(crate) struct TableUpdate {
    pub(crate) changes: RowChangeSet,
    pub(crate) announcements: BTreeMap<RowKey, Announcement>,
}

impl TableUpdate {
    /// Drops what is not of the era of the update.
    pub(crate) fn retain_era(&mut self) {
        let era = self.changes.version.era;
        self.changes.rows.retain(|row| row.version.era == era);
        self.announcements.retain(|_, it| it.version.era == era);
    }

    /// Returns the keys of all rows.
    pub(crate) fn keys(&self) -> BTreeSet<&RowKey> {
        let rows = self.changes.rows.iter().map(|row| &row.key);
        rows.chain(self.announcements.keys()).collect()
    }
}
