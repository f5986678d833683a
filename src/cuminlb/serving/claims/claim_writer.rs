//! [`ClaimWriter`].

use std::collections::HashSet;
use std::time::Duration;

use cuminlb_fleet::rows::{ClaimRow, ClaimState};
use cuminlb_platform::{CommitOutcome, Row, TableClient, TableError, Transaction};
use cuminlb_types::prelude::*;
use log::warn;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::claim_order::ClaimOrder;
use super::settlement::Settlement;
use super::{ClaimFailure, HeldClaim};

/// The number of claims that one transaction writes at most.
const MAX_BATCH_LEN: usize = 64;

/// The number of transactions that a batch is tried in when other nodes race for its claims.
const MAX_ROUNDS: usize = 8;

/// The time that one transaction may take to become certain.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Writes the claims of this node, all that wait in one transaction.
pub(super) struct ClaimWriter {
    pub(super) table: TableClient,
    pub(super) settlements: mpsc::UnboundedSender<Settlement>,
}

impl ClaimWriter {
    /// Writes claims until `stop` is cancelled.
    pub(super) async fn run(
        self,
        mut waiting: mpsc::Receiver<ClaimOrder>,
        stop: CancellationToken,
    ) {
        let mut batch = Vec::new();
        loop {
            let count = tokio::select! {
                biased;
                () = stop.cancelled() => return,
                count = waiting.recv_many(&mut batch, MAX_BATCH_LEN) => count,
            };
            if count == 0 {
                return;
            }
            self.write(std::mem::take(&mut batch)).await;
        }
    }

    /// Writes a batch, again without the claims that others have taken.
    async fn write(&self, batch: Vec<ClaimOrder>) {
        let mut left = batch;
        for _ in 0..MAX_ROUNDS {
            left.retain(|order| !order.reply.is_closed());
            let (round, repeated) = split_repeated(left);
            if round.is_empty() {
                return;
            }
            left = self.write_round(round).await;
            left.extend(repeated);
        }
        for order in left {
            order.fail(ClaimFailure::Unavailable);
        }
    }

    /// Writes claims of different rows in one transaction, and returns those to be tried again.
    async fn write_round(&self, round: Vec<ClaimOrder>) -> Vec<ClaimOrder> {
        let committed = match self.transaction(&round) {
            Ok(transaction) => self.table.commit(&transaction, WRITE_TIMEOUT).await,
            Err(error) => Err(error),
        };
        match committed {
            Ok(CommitOutcome::Committed { version }) => {
                for order in round {
                    self.grant(order, version);
                }
                Vec::new()
            }
            Ok(CommitOutcome::Conflict { .. }) => self.sort_out_taken(round).await,
            Err(error) => {
                warn!("{} claims were not written: {error}", round.len());
                let may_be_written = !matches!(error, TableError::NotReached(_));
                for order in round {
                    self.give_up(order, may_be_written);
                }
                Vec::new()
            }
        }
    }

    fn transaction(&self, round: &[ClaimOrder]) -> Result<Transaction, TableError> {
        let empty = Transaction::new(self.table.new_operation_id());
        round.iter().try_fold(empty, |transaction, order| {
            let wanted = &order.wanted;
            transaction.put(wanted.key.clone(), wanted.expected, &wanted.row)
        })
    }

    fn grant(&self, order: ClaimOrder, version: RowVersion) {
        let wanted = order.wanted;
        let settlements = self.settlements.clone();
        let claim = HeldClaim::new(wanted.key, wanted.row, version, settlements);
        // A claim that nobody waits for comes back, is dropped and so settled as not run.
        drop(order.reply.send(Ok(claim)));
    }

    /// Tells the requests whose claims are taken, and returns the others.
    ///
    /// A conflict is certain: the transaction has not taken effect and never will, because a row
    /// that has changed never returns to the expected state.
    async fn sort_out_taken(&self, round: Vec<ClaimOrder>) -> Vec<ClaimOrder> {
        let keys: Vec<RowKey> = round.iter().map(|order| order.wanted.key.clone()).collect();
        let rows = match self.table.read_many::<ClaimRow>(&keys).await {
            Ok(rows) => rows,
            Err(error) => {
                warn!("{} claims were not read: {error}", round.len());
                round
                    .into_iter()
                    .for_each(|order| order.fail(ClaimFailure::Unavailable));
                return Vec::new();
            }
        };
        let mut left = Vec::new();
        for (order, found) in round.into_iter().zip(rows) {
            left.extend(check_taken(order, found));
        }
        left
    }

    /// Refuses a claim, and settles the row that may have been written or may yet appear.
    fn give_up(&self, order: ClaimOrder, may_be_written: bool) {
        if may_be_written {
            let wanted = &order.wanted;
            let settlement = Settlement {
                key: wanted.key.clone(),
                end: ClaimRow {
                    state: ClaimState::NotRun,
                    ..wanted.row.clone()
                },
                expected: wanted.expected,
                done: None,
            };
            // The settler outlives the writer.
            let _ = self.settlements.send(settlement);
        }
        order.fail(ClaimFailure::Unavailable);
    }
}

/// Returns the order if its row is still in the expected state, and else tells its request.
fn check_taken(mut order: ClaimOrder, found: Option<Row<ClaimRow>>) -> Option<ClaimOrder> {
    match found {
        Some(row) if Some(row.version) != order.wanted.expected => {
            order.fail(ClaimFailure::Taken(Box::new(row)));
            None
        }
        Some(_) => Some(order),
        None => {
            order.wanted.expected = None;
            Some(order)
        }
    }
}

/// Parts the first order of each row from the repeats, which go into a later transaction.
fn split_repeated(orders: Vec<ClaimOrder>) -> (Vec<ClaimOrder>, Vec<ClaimOrder>) {
    let mut seen = HashSet::new();
    orders
        .into_iter()
        .partition(|order| seen.insert(order.wanted.key.clone()))
}
