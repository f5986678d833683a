//! How to continue after the final state of a claim could not be written.

use cuminlb_fleet::rows::{ClaimRow, ClaimState};
use cuminlb_types::prelude::*;

/// The next step for a claim whose final state could not be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettleStep {
    /// Write the final state over the row of this version, or as a new row if there is none.
    Write(Option<RowVersion>),
    /// Nothing: the row holds a final state already, or belongs to another request by now.
    Done,
}

/// Returns the next step for the final row `end` of a claim, given the row `found` in the table.
pub fn next_settle_step(end: &ClaimRow, found: Option<(RowVersion, &ClaimRow)>) -> SettleStep {
    match found {
        None => SettleStep::Write(None),
        Some((version, row)) => {
            let is_open = row.request == end.request && row.state == ClaimState::Running;
            if is_open {
                SettleStep::Write(Some(version))
            } else {
                SettleStep::Done
            }
        }
    }
}
