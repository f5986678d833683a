//! Reads the configuration and the rosters, and puts what is new in force on this node.

use std::sync::Arc;

use cuminlb_fleet::rows::{ConfigRow, Roster, RowKeys};
use cuminlb_platform::{Row, RowAnswer, RowQuery, Table, TableError};
use cuminlb_types::prelude::*;
use log::warn;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::ConfigError;
use super::config_store::take_row;
use crate::node::{FleetView, Node, RosterInForce};

/// Reads the table once a period, or at once when [`Node::poll_now`] is told.
pub async fn poll_fleet(node: Arc<Node>, stop: CancellationToken) {
    let period = node.settings.control.poll_period_ms.duration();
    loop {
        if let Err(error) = poll_fleet_once(&node).await {
            warn!("the configuration can't be read: {error}");
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
/// Returns [`ConfigError`] when the table could not be read, or when what it holds could not be
/// put in force; the node's knowledge is then not fresh.
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
    let answers = node.table.query(&queries).await?;
    let mut answers = queries.iter().map(|query| &query.key).zip(answers);
    if let Some((key, answer)) = answers.next()
        && let Some(row) = Table::decode::<ConfigRow>(key, answer)?
    {
        take_row(node, row).await?;
    }
    for (service, (key, answer)) in services.iter().zip(answers) {
        take_roster(node, service, key, answer)?;
    }
    let config = node.view.borrow().config_version();
    node.knowledge.note_read(sent_at, config);
    Ok(())
}

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

fn take_roster(
    node: &Node,
    service: &ServiceId,
    key: &RowKey,
    answer: RowAnswer,
) -> Result<(), TableError> {
    if let Some(Row { version, value, .. }) = Table::decode::<Roster>(key, answer)? {
        put_roster(node, service, version, value);
    }
    Ok(())
}

/// Puts a roster in force on this node unless it is older than the one there.
pub(super) fn put_roster(node: &Node, service: &ServiceId, row: RowVersion, roster: Roster) {
    node.view.send_if_modified(|view| {
        if view
            .rosters
            .get(service)
            .is_some_and(|known| known.row >= row)
        {
            return false;
        }
        view.rosters
            .insert(service.clone(), Arc::new(RosterInForce { row, roster }));
        true
    });
}
