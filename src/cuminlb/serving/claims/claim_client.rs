//! [`ClaimClient`] and [`ClaimTasks`].

use std::time::Duration;

use cuminlb_platform::TableClient;
use cuminlb_routing::{DuplicateResolution, Refusal, RefusalKind, resolve_duplicate};
use cuminlb_types::prelude::*;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::claim_order::ClaimOrder;
use super::claim_settler::settle_claims;
use super::claim_writer::ClaimWriter;
use super::{ClaimAttempt, ClaimFailure, HeldClaim, WantedClaim, WholeAnswer};

/// The number of claims that may wait to be written.
const MAX_WAITING_CLAIMS: usize = 1_024;

/// The number of times that a claim is tried to be taken over from a request that has not run.
const MAX_TAKE_OVERS: u32 = 3;

/// The longest time that a request waits for its claim.
const MAX_CLAIM_WAIT: Duration = Duration::from_secs(5);

/// Asks for claims.
#[derive(Clone, Debug)]
pub struct ClaimClient {
    orders: mpsc::Sender<ClaimOrder>,
}

/// The tasks that write claims and their ends; their parent joins them.
#[derive(Debug)]
pub struct ClaimTasks {
    tasks: JoinSet<()>,
    stop: CancellationToken,
}

impl ClaimClient {
    /// Starts the tasks that write claims into a table.
    pub fn start(table: &TableClient) -> (Self, ClaimTasks) {
        let (orders, waiting) = mpsc::channel(MAX_WAITING_CLAIMS);
        let (settlements, ends) = mpsc::unbounded_channel();
        let stop = CancellationToken::new();
        let writer = ClaimWriter {
            table: table.clone(),
            settlements,
        };
        let mut tasks = JoinSet::new();
        tasks.spawn(writer.run(waiting, stop.clone()));
        tasks.spawn(settle_claims(table.clone(), ends, stop.clone()));
        (Self { orders }, ClaimTasks { tasks, stop })
    }

    /// Claims a request before it is sent, and judges it by an earlier claim of its name.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] that says whether the request, or an earlier one of the same name,
    /// may have run.
    pub async fn acquire(
        &self,
        mut wanted: WantedClaim,
        deadline: Instant,
    ) -> Result<ClaimAttempt, Refusal> {
        let unavailable = Refusal::not_run(RefusalKind::ClaimUnavailable);
        for _ in 0..=MAX_TAKE_OVERS {
            let left = deadline.saturating_duration_since(Instant::now());
            let row = match self.claim(wanted.clone(), left.min(MAX_CLAIM_WAIT)).await {
                Ok(claim) => return Ok(ClaimAttempt::Held(claim)),
                Err(ClaimFailure::Unavailable) => return Err(unavailable),
                Err(ClaimFailure::Taken(row)) => row,
            };
            match resolve_duplicate(&row.value, &wanted.row.content, UnixMillis::now()) {
                DuplicateResolution::TakeOver => wanted.expected = Some(row.version),
                DuplicateResolution::Running => return Ok(ClaimAttempt::Open(row.value)),
                DuplicateResolution::Unknown => {
                    return Err(Refusal::unknown(RefusalKind::OutcomeUnknown));
                }
                DuplicateResolution::ContentMismatch => {
                    return Err(Refusal::not_run(RefusalKind::KeyReused));
                }
                DuplicateResolution::Answered(outcome) => {
                    return WholeAnswer::from_recorded(&outcome).map(ClaimAttempt::Recorded);
                }
            }
        }
        Err(unavailable)
    }

    /// Writes a claim.
    ///
    /// # Errors
    ///
    /// Returns [`ClaimFailure`] when there is an earlier claim, or when the write was not certain
    /// `within` the time; nobody can use the claim then.
    async fn claim(
        &self,
        wanted: WantedClaim,
        within: Duration,
    ) -> Result<HeldClaim, ClaimFailure> {
        let (reply, answer) = oneshot::channel();
        let order = ClaimOrder { wanted, reply };
        let exchange = async {
            self.orders.send(order).await.ok()?;
            answer.await.ok()
        };
        match tokio::time::timeout(within, exchange).await {
            Ok(Some(result)) => result,
            Ok(None) | Err(_) => Err(ClaimFailure::Unavailable),
        }
    }
}

impl ClaimTasks {
    /// Writes the ends that are left, as far as the table takes them, and joins the tasks.
    pub async fn stop(mut self) {
        self.stop.cancel();
        while self.tasks.join_next().await.is_some() {}
    }
}
