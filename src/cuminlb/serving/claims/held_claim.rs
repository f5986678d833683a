//! The exclusive right to send one request, and how it is settled.

use std::time::Duration;

use cuminlb_fleet::rows::{ClaimRow, ClaimState};
use cuminlb_routing::{Refusal, RunState};
use cuminlb_types::prelude::*;
use tokio::sync::{mpsc, oneshot};

use super::CompleteResponse;
use super::settlement::Settlement;

/// The longest time that a response is delayed until its outcome is recorded.
const RECORD_TIMEOUT: Duration = Duration::from_millis(500);

/// The exclusive right to send one request.
///
/// Dropping it settles the claim: as not run before [`HeldClaim::mark_sent`], and as unknown
/// after.
#[derive(Debug)]
pub struct HeldClaim {
    key: RowKey,
    row: ClaimRow,
    version: RowVersion,
    is_sent: bool,
    is_settled: bool,
    settlements: mpsc::UnboundedSender<Settlement>,
}

impl HeldClaim {
    pub(super) const fn new(
        key: RowKey,
        row: ClaimRow,
        version: RowVersion,
        settlements: mpsc::UnboundedSender<Settlement>,
    ) -> Self {
        Self {
            key,
            row,
            version,
            is_sent: false,
            is_settled: false,
            settlements,
        }
    }

    /// Marks the request as sent; called before its first byte is sent.
    pub const fn mark_sent(&mut self) {
        self.is_sent = true;
    }

    /// Marks the request as not run; called when the upstream certainly has not run what was
    /// sent.
    pub const fn mark_not_run(&mut self) {
        self.is_sent = false;
    }

    /// Records the outcome of the request, and waits a short time until it is in the table.
    pub async fn record(mut self, result: &Result<CompleteResponse, Refusal>) {
        let state = match result {
            Ok(response) => ClaimState::Answered(response.to_recorded()),
            Err(refusal) => match refusal.run_state {
                RunState::NotRun => ClaimState::NotRun,
                RunState::Unknown | RunState::Ran => ClaimState::Unknown,
            },
        };
        let (written, when_written) = oneshot::channel();
        self.settle(state, Some(written));
        // After the timeout, the settler still continues with the write.
        let _ = tokio::time::timeout(RECORD_TIMEOUT, when_written).await;
    }

    fn settle(&mut self, state: ClaimState, written: Option<oneshot::Sender<()>>) {
        if std::mem::replace(&mut self.is_settled, true) {
            return;
        }
        let settlement = Settlement {
            key: self.key.clone(),
            final_row: ClaimRow {
                state,
                ..self.row.clone()
            },
            expected: Some(self.version),
            written,
        };
        // The settler ends after all claims; without it the claim remains open and counts as
        // unknown.
        let _ = self.settlements.send(settlement);
    }
}

impl Drop for HeldClaim {
    fn drop(&mut self) {
        let state = if self.is_sent {
            ClaimState::Unknown
        } else {
            ClaimState::NotRun
        };
        self.settle(state, None);
    }
}
