//! Acquires claims for requests, and starts and stops the tasks that write them.

use std::time::Duration;

use cuminlb_platform::TableClient;
use cuminlb_routing::{DuplicateResolution, Refusal, RefusalKind, resolve_duplicate};
use cuminlb_types::prelude::*;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::claim_settler::settle_claims;
use super::claim_writer::ClaimWriter;
use super::pending_claim::PendingClaim;
use super::{ClaimError, ClaimOutcome, ClaimRequest, CompleteResponse, HeldClaim};

/// The capacity of the queue of claims that are to be written.
const MAX_PENDING_CLAIMS: usize = 1_024;

/// The maximum number of attempts to take over the claim of a request that has not run.
const MAX_TAKEOVERS: u32 = 3;

/// The longest time that a request waits until its claim is written.
const MAX_CLAIM_WAIT: Duration = Duration::from_secs(5);

/// Acquires claims from the writer of this node.
#[derive(Clone, Debug)]
pub struct ClaimClient {
    queue: mpsc::Sender<PendingClaim>,
}

/// The tasks that write and settle claims; whoever started them joins them.
#[derive(Debug)]
pub struct ClaimTasks {
    tasks: JoinSet<()>,
    stop: CancellationToken,
}

impl ClaimClient {
    /// Starts the tasks that write and settle claims in a table.
    pub fn start(table: &TableClient) -> (Self, ClaimTasks) {
        let (queue, pending) = mpsc::channel(MAX_PENDING_CLAIMS);
        let (settlements, settlement_queue) = mpsc::unbounded_channel();
        let stop = CancellationToken::new();
        let writer = ClaimWriter {
            table: table.clone(),
            settlements,
        };
        let mut tasks = JoinSet::new();
        tasks.spawn(writer.run(pending, stop.clone()));
        tasks.spawn(settle_claims(table.clone(), settlement_queue, stop.clone()));
        (Self { queue }, ClaimTasks { tasks, stop })
    }

    /// Acquires the claim of a request before it is sent, or evaluates the earlier claim under its
    /// name.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] that states whether the request, or an earlier one of the same name,
    /// may have run.
    pub async fn acquire(
        &self,
        mut claim: ClaimRequest,
        deadline: Instant,
    ) -> Result<ClaimOutcome, Refusal> {
        let unavailable = Refusal::not_run(RefusalKind::ClaimUnavailable);
        for _ in 0..=MAX_TAKEOVERS {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let row = match self
                .write_claim(claim.clone(), remaining.min(MAX_CLAIM_WAIT))
                .await
            {
                Ok(held) => return Ok(ClaimOutcome::Held(held)),
                Err(ClaimError::Unavailable) => return Err(unavailable),
                Err(ClaimError::Taken(row)) => row,
            };
            match resolve_duplicate(&row.value, &claim.row.content, UnixMillis::now()) {
                DuplicateResolution::TakeOver => claim.expected = Some(row.version),
                DuplicateResolution::Running => return Ok(ClaimOutcome::Open(row.value)),
                DuplicateResolution::Unknown => {
                    return Err(Refusal::unknown(RefusalKind::OutcomeUnknown));
                }
                DuplicateResolution::ContentMismatch => {
                    return Err(Refusal::not_run(RefusalKind::KeyReused));
                }
                DuplicateResolution::Answered(outcome) => {
                    return CompleteResponse::from_recorded(&outcome).map(ClaimOutcome::Recorded);
                }
            }
        }
        Err(unavailable)
    }

    /// Writes a claim through the writer task.
    ///
    /// # Errors
    ///
    /// Returns [`ClaimError`] if there is an earlier claim, or if the write was not confirmed
    /// within `timeout`, in which case no request can use the claim.
    async fn write_claim(
        &self,
        claim: ClaimRequest,
        timeout: Duration,
    ) -> Result<HeldClaim, ClaimError> {
        let (reply, result) = oneshot::channel();
        let pending = PendingClaim { claim, reply };
        let round_trip = async {
            self.queue.send(pending).await.ok()?;
            result.await.ok()
        };
        match tokio::time::timeout(timeout, round_trip).await {
            Ok(Some(result)) => result,
            Ok(None) | Err(_) => Err(ClaimError::Unavailable),
        }
    }
}

impl ClaimTasks {
    /// Settles the remaining claims, as far as the table accepts the writes, and joins the tasks.
    pub async fn stop(mut self) {
        self.stop.cancel();
        while self.tasks.join_next().await.is_some() {}
    }
}
