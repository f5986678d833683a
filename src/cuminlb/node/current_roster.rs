//! [`CurrentRoster`].

use cuminlb_fleet::rows::Roster;
use cuminlb_types::prelude::*;

/// The groups of a service as a node last read them.
#[derive(Clone, Debug)]
pub struct CurrentRoster {
    /// The version of the row in the table.
    pub row: RowVersion,
    /// The groups.
    pub roster: Roster,
}
