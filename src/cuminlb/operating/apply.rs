//! Puts a fleet file in force as a whole.

use std::sync::Arc;
use std::time::Duration;

use cuminlb_caller::{ApplyError, ApplyReport, ApplyRequest};
use cuminlb_config::FleetSpec;
use cuminlb_events::EventKind;
use cuminlb_fleet::rows::{ConfigRow, RowKeys};
use cuminlb_platform::{CommitOutcome, TableError};
use cuminlb_types::prelude::*;
use futures_util::future::join_all;
use log::warn;
use smol_str::ToSmolStr;
use tokio::time::Instant;

use crate::control::poll_fleet_once;
use crate::node::Node;

/// The time in which a committed configuration should be confirmed by every node.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(5);

/// The pause between two rounds of asking the nodes.
const CONFIRM_PAUSE: Duration = Duration::from_millis(50);

/// Checks a fleet file, commits it and waits for the nodes to confirm it.
pub(super) async fn apply(
    node: &Arc<Node>,
    request: ApplyRequest,
) -> Result<ApplyReport, ApplyError> {
    FleetSpec::parse("fleet file", &request.body).map_err(|mistakes| ApplyError::Invalid {
        report: mistakes.to_smolstr(),
    })?;
    let version = commit(node, request).await?;
    node.events.record(EventKind::ConfigAccepted { version });
    if let Err(error) = poll_fleet_once(node).await {
        warn!("configuration {version} is committed and not read back yet: {error}");
    }
    Ok(confirm(node, version).await)
}

/// Writes the configuration if the one in force is still the one that the operator edited.
async fn commit(node: &Node, request: ApplyRequest) -> Result<ConfigVersion, ApplyError> {
    let key = RowKeys::config_head();
    let row = node
        .table
        .read::<ConfigRow>(&key)
        .await
        .map_err(apply_error)?;
    let in_force = row.as_ref().map(|row| row.value.version);
    if in_force != request.base {
        return Err(ApplyError::Conflict {
            in_force: in_force.unwrap_or_default(),
        });
    }
    let version = in_force.unwrap_or_default().next();
    let value = ConfigRow {
        version,
        body: request.body,
    };
    let within = node.settings.platform.timeout_ms.duration() * 3;
    let expected = row.map(|row| row.version);
    match node
        .table
        .put(key.clone(), expected, &value, within)
        .await
        .map_err(apply_error)?
    {
        CommitOutcome::Committed { .. } => Ok(version),
        CommitOutcome::Conflict { .. } => {
            let row = node
                .table
                .read::<ConfigRow>(&key)
                .await
                .map_err(apply_error)?;
            let in_force = row.map(|row| row.value.version).unwrap_or_default();
            Err(ApplyError::Conflict { in_force })
        }
    }
}

/// Asks the listed nodes until all have confirmed the version or the time has run out.
async fn confirm(node: &Node, version: ConfigVersion) -> ApplyReport {
    let deadline = Instant::now() + CONFIRM_TIMEOUT;
    loop {
        let report = ask_nodes(node, version).await;
        if report.not_confirmed.is_empty() || Instant::now() >= deadline {
            return report;
        }
        tokio::time::sleep(CONFIRM_PAUSE).await;
    }
}

async fn ask_nodes(node: &Node, version: ConfigVersion) -> ApplyReport {
    let peers = node.peers.all();
    let calls = peers.iter().map(async |(id, link)| {
        let answer = link.exchange(node.statement()).await;
        (
            id.clone(),
            answer.is_ok_and(|statement| statement.config >= version),
        )
    });
    let mut report = ApplyReport {
        version,
        in_force: Vec::new(),
        not_confirmed: Vec::new(),
    };
    let own = (
        node.id().clone(),
        node.view.borrow().config_version() >= version,
    );
    for (id, confirmed) in join_all(calls).await.into_iter().chain([own]) {
        if confirmed {
            report.in_force.push(id);
        } else {
            report.not_confirmed.push(id);
        }
    }
    report
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
