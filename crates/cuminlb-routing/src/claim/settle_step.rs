//! [`SettleStep`] and [`next_settle_step`].

use cuminlb_fleet::rows::{ClaimRow, ClaimState};
use cuminlb_types::prelude::*;

/// What is left to do for a claim whose end could not be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettleStep {
    /// The end is written over the row of this version, or where there is none.
    WriteOver(Option<RowVersion>),
    /// The row says the end already, or is another request's by now.
    Done,
}

/// Decides how to go on with an end that met `found` in the table.
pub fn next_settle_step(end: &ClaimRow, found: Option<(RowVersion, &ClaimRow)>) -> SettleStep {
    match found {
        None => SettleStep::WriteOver(None),
        Some((version, row)) => {
            let is_open = row.request == end.request && row.state == ClaimState::Running;
            if is_open {
                SettleStep::WriteOver(Some(version))
            } else {
                SettleStep::Done
            }
        }
    }
}
