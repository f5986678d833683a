//! [`Settlement`].

use cuminlb_fleet::rows::ClaimRow;
use cuminlb_types::prelude::*;
use tokio::sync::oneshot;

/// The end of a claimed request, to be written into its claim.
#[derive(Debug)]
pub(super) struct Settlement {
    pub(super) key: RowKey,
    /// The row with its last state.
    pub(super) end: ClaimRow,
    /// The version of the row that the end is written over.
    pub(super) expected: Option<RowVersion>,
    /// Told when the end is in the table.
    pub(super) done: Option<oneshot::Sender<()>>,
}

impl Settlement {
    /// Tells the request that its end is in the table.
    pub(super) fn finish(self) {
        if let Some(done) = self.done {
            // The request may have gone on without waiting.
            let _ = done.send(());
        }
    }
}
