//! An entry of the queue of settlements that [`super::claim_settler`] writes.

use cuminlb_fleet::rows::ClaimRow;
use cuminlb_types::prelude::*;
use tokio::sync::oneshot;

/// The outcome of a claimed request, which is to be written into its claim.
#[derive(Debug)]
pub(super) struct Settlement {
    pub(super) key: RowKey,
    /// The row in its final state.
    pub(super) final_row: ClaimRow,
    /// The version of the row that the final row replaces.
    pub(super) expected: Option<RowVersion>,
    /// Notified when the outcome is in the table.
    pub(super) written: Option<oneshot::Sender<()>>,
}

impl Settlement {
    /// Notifies the request that its outcome is in the table.
    pub(super) fn notify_written(self) {
        if let Some(written) = self.written {
            // The request may have stopped waiting.
            let _ = written.send(());
        }
    }
}
