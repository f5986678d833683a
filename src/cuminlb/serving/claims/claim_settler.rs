//! Settles claims: writes the outcomes of claimed requests into their rows.

use std::collections::HashSet;
use std::time::Duration;

use cuminlb_fleet::rows::ClaimRow;
use cuminlb_platform::{CommitOutcome, Row, TableClient, TableError, Transaction};
use cuminlb_routing::{SettleStep, next_settle_step};
use cuminlb_types::prelude::*;
use log::{debug, warn};
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::settlement::Settlement;

/// The maximum number of settlements in one transaction.
const MAX_BATCH_LEN: usize = 64;

/// The time after which the outcome of a transaction counts as unconfirmed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// The delay before the next attempt after the table could not be written.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The time to write the remaining settlements after `stop` was cancelled.
const STOP_TIMEOUT: Duration = Duration::from_secs(3);

/// Writes settlements until `stop` is cancelled and none is left, or [`STOP_TIMEOUT`] after that.
pub(super) async fn settle_claims(
    table: TableClient,
    mut queue: mpsc::UnboundedReceiver<Settlement>,
    stop: CancellationToken,
) {
    let mut unsettled: Vec<Settlement> = Vec::new();
    let mut stop_deadline = None;
    loop {
        if unsettled.is_empty() {
            tokio::select! {
                biased;
                count = queue.recv_many(&mut unsettled, MAX_BATCH_LEN) => if count == 0 { return },
                () = stop.cancelled() => return,
            }
        }
        while let Ok(settlement) = queue.try_recv() {
            unsettled.push(settlement);
        }
        match settle_batch(&table, &mut unsettled).await {
            Ok(()) => {}
            Err(error) => {
                debug!(
                    "settling {} claims failed, retrying: {error}",
                    unsettled.len()
                );
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
        if stop.is_cancelled() {
            let stop_deadline = stop_deadline.get_or_insert_with(|| Instant::now() + STOP_TIMEOUT);
            if !unsettled.is_empty() && Instant::now() >= *stop_deadline {
                warn!(
                    "{} claims remain open at shutdown and count as unknown",
                    unsettled.len()
                );
                return;
            }
        }
    }
}

/// Writes one batch, and removes what is settled from `unsettled`.
async fn settle_batch(
    table: &TableClient,
    unsettled: &mut Vec<Settlement>,
) -> Result<(), TableError> {
    let mut seen = HashSet::new();
    let (batch, rest): (Vec<_>, Vec<_>) = unsettled
        .drain(..)
        .partition(|settlement| seen.len() < MAX_BATCH_LEN && seen.insert(settlement.key.clone()));
    *unsettled = rest;
    let result = commit(table, &batch).await;
    match result {
        Ok(CommitOutcome::Committed { .. }) => {
            batch.into_iter().for_each(Settlement::notify_written);
            Ok(())
        }
        Ok(CommitOutcome::Conflict { .. }) => resolve_conflict(table, batch, unsettled).await,
        Err(error) => {
            unsettled.extend(batch);
            Err(error)
        }
    }
}

async fn commit(table: &TableClient, batch: &[Settlement]) -> Result<CommitOutcome, TableError> {
    let empty = Transaction::new(table.new_operation_id());
    let transaction = batch.iter().try_fold(empty, |transaction, settlement| {
        transaction.put(
            settlement.key.clone(),
            settlement.expected,
            &settlement.final_row,
        )
    })?;
    table.commit(&transaction, WRITE_TIMEOUT).await
}

/// Reads the rows of a batch after a conflict, and returns to `unsettled` what is not settled.
async fn resolve_conflict(
    table: &TableClient,
    batch: Vec<Settlement>,
    unsettled: &mut Vec<Settlement>,
) -> Result<(), TableError> {
    let keys: Vec<RowKey> = batch
        .iter()
        .map(|settlement| settlement.key.clone())
        .collect();
    let rows = match table.read_many::<ClaimRow>(&keys).await {
        Ok(rows) => rows,
        Err(error) => {
            unsettled.extend(batch);
            return Err(error);
        }
    };
    for (mut settlement, found) in batch.into_iter().zip(rows) {
        match next_step(&settlement, found.as_ref()) {
            SettleStep::Write(expected) => {
                settlement.expected = expected;
                unsettled.push(settlement);
            }
            SettleStep::Done => settlement.notify_written(),
        }
    }
    Ok(())
}

fn next_step(settlement: &Settlement, found: Option<&Row<ClaimRow>>) -> SettleStep {
    let found = found.map(|row| (row.version, &row.value));
    next_settle_step(&settlement.final_row, found)
}
