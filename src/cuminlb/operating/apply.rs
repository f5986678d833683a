//! Puts a fleet file in force as a whole.

use std::sync::Arc;
use std::time::Duration;

use cuminlb_caller::{ApplyError, ApplyReport, ApplyRequest};
use cuminlb_config::FleetSpec;
use cuminlb_events::EventKind;
use cuminlb_fleet::rows::{ConfigRow, RowKeys};
use cuminlb_platform::{CommitOutcome, TableError};
use cuminlb_types::prelude::*;
use log::warn;
use smol_str::{ToSmolStr, format_smolstr};
use tokio::time::Instant;

use super::confirmation::confirm;
use crate::control::{apply_config_text, notify_listed_nodes, store_config_text};
use crate::node::Node;

/// The time in which enough nodes must be heard before a configuration is replaced.
const GATHER_TIMEOUT: Duration = Duration::from_secs(2);

/// A configuration that was committed.
struct Committed {
    version: ConfigVersion,
    row: RowVersion,
    text: String,
}

/// Checks a fleet file, commits it and waits for the nodes to confirm it.
pub(super) async fn apply(
    node: &Arc<Node>,
    request: ApplyRequest,
) -> Result<ApplyReport, ApplyError> {
    FleetSpec::parse("fleet file", &request.body).map_err(|mistakes| ApplyError::Invalid {
        report: mistakes.to_smolstr(),
    })?;
    let committed = commit(node, request).await?;
    let committed_by = Instant::now();
    let version = committed.version;
    node.freshness.record_newest_config(version);
    node.events.record(EventKind::ConfigAccepted { version });
    if let Err(error) = apply_config_text(node, version, committed.row, committed.text) {
        warn!("configuration {version} is committed and not in force here: {error}");
    }
    Ok(confirm(node, version, committed_by).await)
}

/// Writes the configuration if the one in force is still the one that the operator edited, and if
/// enough nodes are heard to make the one before provably stop.
async fn commit(node: &Node, request: ApplyRequest) -> Result<Committed, ApplyError> {
    let key = RowKeys::config_head();
    let read_sent_at = Instant::now();
    let row = node.table.read::<ConfigRow>(&key).await;
    let row = row.map_err(apply_error)?;
    let in_force = row.as_ref().map(|row| row.value.version);
    if in_force != request.base {
        return Err(conflict(in_force));
    }
    if let Some(in_force) = in_force {
        require_majority(node, read_sent_at, in_force).await?;
    }
    let version = in_force.unwrap_or_default().next();
    let value = ConfigRow::new(version, &request.body);
    store_config_text(node, &value, &request.body)
        .await
        .map_err(|error| ApplyError::NotReached {
            reason: error.to_smolstr(),
        })?;
    let within = node.settings.platform.timeout_ms.duration() * 3;
    let expected = row.map(|row| row.version);
    let outcome = node.table.put(key.clone(), expected, &value, within).await;
    match outcome.map_err(apply_error)? {
        CommitOutcome::Committed { version: row } => Ok(Committed {
            version,
            row,
            text: request.body,
        }),
        CommitOutcome::Conflict { .. } => {
            let row = node.table.read::<ConfigRow>(&key).await;
            let row = row.map_err(apply_error)?;
            Err(conflict(row.map(|row| row.value.version)))
        }
    }
}

/// Hears so many of the listed nodes that no majority without them can go on with the
/// configuration before.
async fn require_majority(
    node: &Node,
    read_sent_at: Instant,
    in_force: ConfigVersion,
) -> Result<(), ApplyError> {
    let deadline = Instant::now() + GATHER_TIMEOUT;
    loop {
        let gathered = notify_listed_nodes(node, read_sent_at, in_force, deadline).await;
        if gathered.is_quorum() {
            return Ok(());
        }
        if Instant::now() >= deadline {
            let (notified, listed) = (gathered.notified, gathered.listed);
            return Err(ApplyError::NotReached {
                reason: format_smolstr!("this node hears only {notified} of {listed} listed nodes"),
            });
        }
        tokio::time::sleep(node.freshness.bounds().pull_period_ms().duration()).await;
    }
}

fn conflict(in_force: Option<ConfigVersion>) -> ApplyError {
    ApplyError::Conflict {
        in_force: in_force.unwrap_or_default(),
    }
}

fn apply_error(error: TableError) -> ApplyError {
    let reason = error.to_smolstr();
    match error {
        TableError::Unknown { .. } => ApplyError::Unknown { reason },
        TableError::NotReached(_) | TableError::Decode { .. } | TableError::Encode { .. } => {
            ApplyError::NotReached { reason }
        }
    }
}
