//! [`HeldClaim`].

use std::time::Duration;

use cuminlb_fleet::rows::{ClaimRow, ClaimState};
use cuminlb_routing::{Refusal, RunState};
use cuminlb_types::prelude::*;
use tokio::sync::{mpsc, oneshot};

use super::WholeAnswer;
use super::settlement::Settlement;

/// The longest time that an answer waits for its record.
const RECORD_WAIT: Duration = Duration::from_millis(500);

/// The right of one request to be sent; nobody else has it.
///
/// Dropping it settles the claim: as not run before [`HeldClaim::mark_sent`], and as unknown
/// after.
#[derive(Debug)]
pub struct HeldClaim {
    key: RowKey,
    row: ClaimRow,
    version: RowVersion,
    sent: bool,
    settled: bool,
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
            sent: false,
            settled: false,
            settlements,
        }
    }

    /// Notes that the first byte is about to leave.
    pub const fn mark_sent(&mut self) {
        self.sent = true;
    }

    /// Notes that the upstream certainly has not run what was sent.
    pub const fn mark_not_run(&mut self) {
        self.sent = false;
    }

    /// Writes the end of the request and waits a short time until it is in the table.
    pub async fn record(mut self, answer: &Result<WholeAnswer, Refusal>) {
        let state = match answer {
            Ok(answer) => ClaimState::Answered(answer.to_recorded()),
            Err(refusal) => match refusal.run_state {
                RunState::NotRun => ClaimState::NotRun,
                RunState::Unknown | RunState::Ran => ClaimState::Unknown,
            },
        };
        let (done, written) = oneshot::channel();
        self.send_end(state, Some(done));
        // The settler goes on with the write when the time is over.
        let _ = tokio::time::timeout(RECORD_WAIT, written).await;
    }

    fn send_end(&mut self, state: ClaimState, done: Option<oneshot::Sender<()>>) {
        if std::mem::replace(&mut self.settled, true) {
            return;
        }
        let settlement = Settlement {
            key: self.key.clone(),
            end: ClaimRow {
                state,
                ..self.row.clone()
            },
            expected: Some(self.version),
            done,
        };
        // The settler ends after all claims; without it the claim stays open and counts as
        // unknown.
        let _ = self.settlements.send(settlement);
    }
}

impl Drop for HeldClaim {
    fn drop(&mut self) {
        let state = if self.sent {
            ClaimState::Unknown
        } else {
            ClaimState::NotRun
        };
        self.send_end(state, None);
    }
}
