//! Writes the claims of this node in batches, one transaction per batch.

use std::collections::HashSet;
use std::time::Duration;

use cuminlb_fleet::rows::{ClaimRow, ClaimState};
use cuminlb_platform::{CommitOutcome, Row, TableClient, TableError, Transaction};
use cuminlb_types::prelude::*;
use log::warn;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::pending_claim::PendingClaim;
use super::settlement::Settlement;
use super::{ClaimError, HeldClaim};

/// The maximum number of claims in one transaction.
const MAX_BATCH_LEN: usize = 64;

/// The maximum number of transactions for a batch when other nodes race for its claims.
const MAX_ROUNDS: usize = 8;

/// The time after which the outcome of a transaction counts as unconfirmed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Writes the claims of this node: all that are pending in one transaction, up to
/// [`MAX_BATCH_LEN`].
pub(super) struct ClaimWriter {
    pub(super) table: TableClient,
    pub(super) settlements: mpsc::UnboundedSender<Settlement>,
}

impl ClaimWriter {
    /// Writes claims until `stop` is cancelled.
    pub(super) async fn run(
        self,
        mut pending: mpsc::Receiver<PendingClaim>,
        stop: CancellationToken,
    ) {
        let mut batch = Vec::new();
        loop {
            let count = tokio::select! {
                biased;
                () = stop.cancelled() => return,
                count = pending.recv_many(&mut batch, MAX_BATCH_LEN) => count,
            };
            if count == 0 {
                return;
            }
            self.write(std::mem::take(&mut batch)).await;
        }
    }

    /// Writes a batch, and retries after a conflict without the claims that others hold.
    async fn write(&self, batch: Vec<PendingClaim>) {
        let mut remaining = batch;
        for _ in 0..MAX_ROUNDS {
            remaining.retain(|pending| !pending.reply.is_closed());
            let (round, duplicates) = split_duplicates(remaining);
            if round.is_empty() {
                return;
            }
            remaining = self.write_round(round).await;
            remaining.extend(duplicates);
        }
        for pending in remaining {
            pending.fail(ClaimError::Unavailable);
        }
    }

    /// Writes claims of different rows in one transaction, and returns those to retry.
    async fn write_round(&self, round: Vec<PendingClaim>) -> Vec<PendingClaim> {
        let committed = match self.transaction(&round) {
            Ok(transaction) => self.table.commit(&transaction, WRITE_TIMEOUT).await,
            Err(error) => Err(error),
        };
        match committed {
            Ok(CommitOutcome::Committed { version }) => {
                for pending in round {
                    self.grant(pending, version);
                }
                Vec::new()
            }
            Ok(CommitOutcome::Conflict { .. }) => self.resolve_conflict(round).await,
            Err(error) => {
                warn!("writing {} claims failed: {error}", round.len());
                let may_be_written = !matches!(error, TableError::NotReached(_));
                for pending in round {
                    self.abandon(pending, may_be_written);
                }
                Vec::new()
            }
        }
    }

    fn transaction(&self, round: &[PendingClaim]) -> Result<Transaction, TableError> {
        let empty = Transaction::new(self.table.new_operation_id());
        round.iter().try_fold(empty, |transaction, pending| {
            let claim = &pending.claim;
            transaction.put(claim.key.clone(), claim.expected, &claim.row)
        })
    }

    fn grant(&self, pending: PendingClaim, version: RowVersion) {
        let claim = pending.claim;
        let settlements = self.settlements.clone();
        let held = HeldClaim::new(claim.key, claim.row, version, settlements);
        // If the request no longer waits, `send` returns the claim; dropping it settles it as not
        // run.
        drop(pending.reply.send(Ok(held)));
    }

    /// Refuses the claims that other requests hold, and returns the others to retry.
    ///
    /// A conflict is final: the transaction has not taken effect and never will, because a row
    /// that has changed never returns to the expected state.
    async fn resolve_conflict(&self, round: Vec<PendingClaim>) -> Vec<PendingClaim> {
        let keys: Vec<RowKey> = round
            .iter()
            .map(|pending| pending.claim.key.clone())
            .collect();
        let rows = match self.table.read_many::<ClaimRow>(&keys).await {
            Ok(rows) => rows,
            Err(error) => {
                warn!(
                    "reading {} claims after a conflict failed: {error}",
                    round.len()
                );
                round
                    .into_iter()
                    .for_each(|pending| pending.fail(ClaimError::Unavailable));
                return Vec::new();
            }
        };
        let mut retried = Vec::new();
        for (pending, found) in round.into_iter().zip(rows) {
            retried.extend(retry_unless_taken(pending, found));
        }
        retried
    }

    /// Refuses a claim, and settles the row that may have been written or may still appear.
    fn abandon(&self, pending: PendingClaim, may_be_written: bool) {
        if may_be_written {
            let claim = &pending.claim;
            let settlement = Settlement {
                key: claim.key.clone(),
                final_row: ClaimRow {
                    state: ClaimState::NotRun,
                    ..claim.row.clone()
                },
                expected: claim.expected,
                written: None,
            };
            // The settler outlives the writer.
            let _ = self.settlements.send(settlement);
        }
        pending.fail(ClaimError::Unavailable);
    }
}

/// Returns the claim if its row is free or has the expected version; otherwise refuses it.
fn retry_unless_taken(
    mut pending: PendingClaim,
    found: Option<Row<ClaimRow>>,
) -> Option<PendingClaim> {
    match found {
        Some(row) if Some(row.version) != pending.claim.expected => {
            pending.fail(ClaimError::Taken(Box::new(row)));
            None
        }
        Some(_) => Some(pending),
        None => {
            pending.claim.expected = None;
            Some(pending)
        }
    }
}

/// Separates the first claim of each row from its duplicates, which need a later transaction.
fn split_duplicates(claims: Vec<PendingClaim>) -> (Vec<PendingClaim>, Vec<PendingClaim>) {
    let mut seen = HashSet::new();
    claims
        .into_iter()
        .partition(|pending| seen.insert(pending.claim.key.clone()))
}
