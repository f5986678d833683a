//! Writes the ends of claimed requests into their claims.

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

/// The number of ends that one transaction writes at most.
const MAX_BATCH_LEN: usize = 64;

/// The time that one transaction may take to become certain.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// The pause after the table could not be written.
const PAUSE: Duration = Duration::from_millis(200);

/// The time that ends have to be written after the settler was told to stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(3);

/// Writes ends until `stop` is cancelled and none is left, or the time for that is over.
pub(super) async fn settle_claims(
    table: TableClient,
    mut ends: mpsc::UnboundedReceiver<Settlement>,
    stop: CancellationToken,
) {
    let mut open: Vec<Settlement> = Vec::new();
    let mut give_up_at = None;
    loop {
        if open.is_empty() {
            tokio::select! {
                biased;
                count = ends.recv_many(&mut open, MAX_BATCH_LEN) => if count == 0 { return },
                () = stop.cancelled() => return,
            }
        }
        while let Ok(end) = ends.try_recv() {
            open.push(end);
        }
        match settle_once(&table, &mut open).await {
            Ok(()) => {}
            Err(error) => {
                debug!("the ends of {} claims wait: {error}", open.len());
                tokio::time::sleep(PAUSE).await;
            }
        }
        if stop.is_cancelled() {
            let give_up_at = give_up_at.get_or_insert_with(|| Instant::now() + STOP_TIMEOUT);
            if !open.is_empty() && Instant::now() >= *give_up_at {
                warn!("{} claims stay open and count as unknown", open.len());
                return;
            }
        }
    }
}

/// Writes one batch, and takes what is settled out of `open`.
async fn settle_once(table: &TableClient, open: &mut Vec<Settlement>) -> Result<(), TableError> {
    let mut seen = HashSet::new();
    let (batch, rest): (Vec<_>, Vec<_>) = open
        .drain(..)
        .partition(|settlement| seen.len() < MAX_BATCH_LEN && seen.insert(settlement.key.clone()));
    *open = rest;
    let result = commit(table, &batch).await;
    match result {
        Ok(CommitOutcome::Committed { .. }) => {
            batch.into_iter().for_each(Settlement::finish);
            Ok(())
        }
        Ok(CommitOutcome::Conflict { .. }) => sort_out(table, batch, open).await,
        Err(error) => {
            open.extend(batch);
            Err(error)
        }
    }
}

async fn commit(table: &TableClient, batch: &[Settlement]) -> Result<CommitOutcome, TableError> {
    let empty = Transaction::new(table.new_operation_id());
    let transaction = batch.iter().try_fold(empty, |transaction, settlement| {
        transaction.put(settlement.key.clone(), settlement.expected, &settlement.end)
    })?;
    table.commit(&transaction, WRITE_TIMEOUT).await
}

/// Reads the rows of a batch that met a conflict, and keeps in `open` what is not settled.
async fn sort_out(
    table: &TableClient,
    batch: Vec<Settlement>,
    open: &mut Vec<Settlement>,
) -> Result<(), TableError> {
    let keys: Vec<RowKey> = batch
        .iter()
        .map(|settlement| settlement.key.clone())
        .collect();
    let rows = match table.read_many::<ClaimRow>(&keys).await {
        Ok(rows) => rows,
        Err(error) => {
            open.extend(batch);
            return Err(error);
        }
    };
    for (mut settlement, found) in batch.into_iter().zip(rows) {
        match next_step(&settlement, found.as_ref()) {
            SettleStep::Write(expected) => {
                settlement.expected = expected;
                open.push(settlement);
            }
            SettleStep::Done => settlement.finish(),
        }
    }
    Ok(())
}

fn next_step(settlement: &Settlement, found: Option<&Row<ClaimRow>>) -> SettleStep {
    let found = found.map(|row| (row.version, &row.value));
    next_settle_step(&settlement.end, found)
}
