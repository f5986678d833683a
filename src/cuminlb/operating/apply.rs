//! Validates and commits a new fleet file, and applies it on this node.

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

/// How long to wait for enough nodes to respond before a configuration is replaced.
const MAJORITY_TIMEOUT: Duration = Duration::from_secs(2);

/// A configuration that was committed to the table.
struct Committed {
    version: ConfigVersion,
    row_version: RowVersion,
    text: String,
}

/// Validates a fleet file, commits it and waits for the nodes to confirm it.
pub(super) async fn apply(
    node: &Arc<Node>,
    request: ApplyRequest,
) -> Result<ApplyReport, ApplyError> {
    FleetSpec::parse("fleet file", &request.body).map_err(|errors| ApplyError::Invalid {
        report: errors.to_smolstr(),
    })?;
    let committed = commit(node, request).await?;
    let committed_by = Instant::now();
    let version = committed.version;
    node.freshness.record_newest_config(version);
    node.events.record(EventKind::ConfigAccepted { version });
    if let Err(error) = apply_config_text(node, version, committed.row_version, committed.text) {
        warn!("configuration {version} is committed but could not be applied here: {error}");
    }
    Ok(confirm(node, version, committed_by).await)
}

/// Writes the configuration if the current one is still the one that the operator edited, and if
/// enough nodes respond to guarantee that nodes without the new version stop using the old one.
async fn commit(node: &Node, request: ApplyRequest) -> Result<Committed, ApplyError> {
    let key = RowKeys::config_head();
    let read_sent_at = Instant::now();
    let row = node.table.read::<ConfigRow>(&key).await;
    let row = row.map_err(apply_error)?;
    let current = row.as_ref().map(|row| row.value.version);
    if current != request.base {
        return Err(conflict(current));
    }
    if let Some(current) = current {
        require_majority(node, read_sent_at, current).await?;
    }
    let version = current.unwrap_or_default().next();
    let value = ConfigRow::new(version, &request.body);
    store_config_text(node, &value, &request.body)
        .await
        .map_err(|error| ApplyError::NotReached {
            reason: error.to_smolstr(),
        })?;
    let timeout = node.settings.platform.timeout_ms.duration() * 3;
    let expected = row.map(|row| row.version);
    let outcome = node.table.put(key.clone(), expected, &value, timeout).await;
    match outcome.map_err(apply_error)? {
        CommitOutcome::Committed {
            version: row_version,
        } => Ok(Committed {
            version,
            row_version,
            text: request.body,
        }),
        CommitOutcome::Conflict { .. } => {
            let row = node.table.read::<ConfigRow>(&key).await;
            let row = row.map_err(apply_error)?;
            Err(conflict(row.map(|row| row.value.version)))
        }
    }
}

/// Notifies the listed nodes of the table read until so many have responded that the others can't
/// form a majority that continues with the current configuration.
async fn require_majority(
    node: &Node,
    read_sent_at: Instant,
    current: ConfigVersion,
) -> Result<(), ApplyError> {
    let deadline = Instant::now() + MAJORITY_TIMEOUT;
    loop {
        let outcome = notify_listed_nodes(node, read_sent_at, current, deadline).await;
        if outcome.is_quorum() {
            return Ok(());
        }
        if Instant::now() >= deadline {
            let (notified, listed) = (outcome.notified, outcome.listed);
            return Err(ApplyError::NotReached {
                reason: format_smolstr!(
                    "only {notified} of {listed} listed nodes responded to this node"
                ),
            });
        }
        tokio::time::sleep(node.freshness.bounds().pull_period_ms().duration()).await;
    }
}

fn conflict(current: Option<ConfigVersion>) -> ApplyError {
    ApplyError::Conflict {
        in_force: current.unwrap_or_default(),
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
