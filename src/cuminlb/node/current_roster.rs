//! The roster of one service with the version of its row.

use cuminlb_fleet::rows::Roster;
use cuminlb_types::prelude::*;

/// The newest roster of a service that a node has read or written.
#[derive(Clone, Debug)]
pub struct CurrentRoster {
    /// The version of the row in the table.
    pub row: RowVersion,
    /// The groups.
    pub roster: Roster,
}
