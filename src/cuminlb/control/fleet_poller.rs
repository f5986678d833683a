//! Polls the table for the configuration and the rosters, and applies newer versions to this node.

use std::sync::Arc;

use cuminlb_fleet::rows::{ConfigRow, Roster, RowKeys};
use cuminlb_platform::{Row, RowQuery, RowResponse, TableClient, TableError};
use cuminlb_types::prelude::*;
use log::warn;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::ConfigError;
use super::config_store::apply_config_row;
use crate::node::{CurrentRoster, FleetView, Node};

/// Reads the table once per poll period, and immediately when [`Node::poll_now`] is notified.
pub async fn poll_fleet(node: Arc<Node>, stop: CancellationToken) {
    let period = node.settings.control.poll_period_ms.duration();
    loop {
        if let Err(error) = poll_fleet_once(&node).await {
            warn!("failed to update the configuration and the rosters: {error}");
        }
        node.freshness_events.observe(&node);
        tokio::select! {
            () = stop.cancelled() => return,
            () = node.poll_now.notified() => {}
            () = tokio::time::sleep(period) => {}
        }
    }
}

/// Reads the configuration and the rosters once.
///
/// # Errors
///
/// Returns [`ConfigError`] when the table could not be read, or when the configuration or a roster
/// could not be applied. The read then does not refresh the node's knowledge of the table.
pub async fn poll_fleet_once(node: &Node) -> Result<(), ConfigError> {
    let view = node.view();
    let services: Vec<ServiceId> = view
        .spec()
        .map(|spec| {
            spec.services
                .iter()
                .map(|service| service.id.clone())
                .collect()
        })
        .unwrap_or_default();
    let queries = fleet_queries(&view, &services);
    let sent_at = Instant::now();
    let responses = node.table.query(&queries).await?;
    let mut responses = queries.iter().map(|query| &query.key).zip(responses);
    if let Some((key, response)) = responses.next()
        && let Some(row) = TableClient::decode::<ConfigRow>(key, response)?
    {
        apply_config_row(node, row).await?;
    }
    for (service, (key, response)) in services.iter().zip(responses) {
        apply_roster_row(node, service, key, response)?;
    }
    let config = node.view.borrow().config_version();
    node.freshness.record_read(sent_at, config);
    Ok(())
}

/// Queries the configuration first, then the roster of each service in the given order. Each query
/// states the row version that this node already has.
fn fleet_queries(view: &FleetView, services: &[ServiceId]) -> Vec<RowQuery> {
    let known = view.config.as_ref().map(|config| config.row);
    let config = RowQuery {
        key: RowKeys::config_head(),
        known,
    };
    let rosters = services.iter().map(|service| RowQuery {
        key: RowKeys::roster(service),
        known: view.rosters.get(service).map(|roster| roster.row),
    });
    std::iter::once(config).chain(rosters).collect()
}

fn apply_roster_row(
    node: &Node,
    service: &ServiceId,
    key: &RowKey,
    response: RowResponse,
) -> Result<(), TableError> {
    if let Some(Row { version, value, .. }) = TableClient::decode::<Roster>(key, response)? {
        apply_roster(node, service, version, value);
    }
    Ok(())
}

/// Applies a roster to this node if its row is newer than the one that is known.
pub(super) fn apply_roster(node: &Node, service: &ServiceId, row: RowVersion, roster: Roster) {
    node.view.send_if_modified(|view| {
        if view
            .rosters
            .get(service)
            .is_some_and(|known| known.row >= row)
        {
            return false;
        }
        view.rosters
            .insert(service.clone(), Arc::new(CurrentRoster { row, roster }));
        true
    });
}
