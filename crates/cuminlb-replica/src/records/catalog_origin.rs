//! The version of a catalog and of the row that it came from.

use cuminlb_types::prelude::*;

/// The version of a catalog and of the row that it came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CatalogOrigin {
    /// The version of the catalog.
    pub catalog: ConfigVersion,
    /// The version of the row.
    pub row: StoreVersion,
}

impl CatalogOrigin {
    /// Returns whether this catalog replaces the one that came from `active`.
    ///
    /// The operators may have written a version anew that the store lost when it was restored. The
    /// older one that the copy has never replaces it.
    pub fn replaces(&self, active: &Self) -> bool {
        let is_written_later = self.row.era > active.row.era;
        self.catalog > active.catalog || self.catalog == active.catalog && is_written_later
    }
}
