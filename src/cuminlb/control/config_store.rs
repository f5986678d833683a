//! Stores the text of configurations, fetches it, and puts configurations in force.

use std::sync::Arc;

use bytes::Bytes;
use cuminlb_config::FleetSpec;
use cuminlb_events::EventKind;
use cuminlb_fleet::rows::{ConfigBody, ConfigDigest, ConfigRow, RowKeys};
use cuminlb_peer::PeerLink;
use cuminlb_platform::{PlatformError, Row};
use cuminlb_types::prelude::*;
use log::{debug, warn};
use smol_str::ToSmolStr;

use super::ConfigError;
use crate::node::{ConfigInForce, Node};
use crate::observing::record_zone_changes;

/// Puts a configuration in force that was read from the table, unless it is not newer than the
/// one in force; tells whether it was.
///
/// # Errors
///
/// Returns [`ConfigError`] when its text can't be had or read. The node then has no fresh
/// knowledge of the configuration.
pub(super) async fn take_row(node: &Node, row: Row<ConfigRow>) -> Result<bool, ConfigError> {
    let version = row.value.version;
    node.knowledge.note_newest(version);
    if version <= node.view.borrow().config_version() {
        return Ok(false);
    }
    let text = fetch_text(node, row.value).await?;
    put_text(node, version, row.version, text)
}

/// Asks a peer for the configuration in force there, and puts it in force here if it is newer.
pub(super) async fn pull_from_peer(node: &Node, peer: &NodeId, link: &PeerLink) {
    match link.config().await {
        Ok(Some(document)) => {
            node.knowledge.note_newest(document.version);
            let put = put_text(node, document.version, document.row, document.text);
            if let Err(error) = put {
                warn!("the configuration of peer {peer} is not put in force: {error}");
            }
        }
        Ok(None) => {}
        Err(error) => debug!("peer {peer} passes no configuration on: {error}"),
    }
}

/// Reads a configuration and puts it in force unless it is not newer than the one in force; tells
/// whether it was.
///
/// # Errors
///
/// Returns [`ConfigError::Unreadable`] when the text has mistakes.
pub fn put_text(
    node: &Node,
    version: ConfigVersion,
    row: RowVersion,
    body: String,
) -> Result<bool, ConfigError> {
    let spec =
        FleetSpec::parse("config/head", &body).map_err(|mistakes| ConfigError::Unreadable {
            version,
            report: mistakes.to_smolstr(),
        })?;
    let config = Arc::new(ConfigInForce {
        version,
        row,
        body,
        spec,
    });
    // Several tasks put configurations in force, so the comparison and the change are one step.
    let mut before = None;
    let is_newer = node.view.send_if_modified(|view| {
        let is_newer = version > view.config_version();
        if is_newer {
            before = view.config.replace(Arc::clone(&config));
        }
        is_newer
    });
    if is_newer {
        let before = before.as_ref().map(|before| &before.spec);
        record_zone_changes(&node.events, before, &config.spec, version);
        node.events.record(EventKind::ConfigInForce { version });
        node.poll_now.notify_one();
    }
    Ok(is_newer)
}

/// Writes the text of a configuration to the object store, where its row asks for it.
///
/// # Errors
///
/// Returns [`PlatformError`] when it is not certain that the text is there.
pub async fn store_text(node: &Node, row: &ConfigRow, text: &str) -> Result<(), PlatformError> {
    match row.body {
        ConfigBody::Inline(_) => Ok(()),
        ConfigBody::Object => {
            let key = RowKeys::config_object(&row.digest);
            let body = Bytes::copy_from_slice(text.as_bytes());
            node.objects.put(&key, body).await
        }
    }
}

async fn fetch_text(node: &Node, row: ConfigRow) -> Result<String, ConfigError> {
    let version = row.version;
    let text = match row.body {
        ConfigBody::Inline(text) => text,
        ConfigBody::Object => {
            let key = RowKeys::config_object(&row.digest);
            let object = node.objects.get(&key).await;
            let object = object.map_err(|source| ConfigError::Object { version, source })?;
            let object = object.ok_or(ConfigError::Missing { version })?;
            String::from_utf8(object.into()).map_err(|_| ConfigError::WrongDigest { version })?
        }
    };
    if ConfigDigest::compute(&text) == row.digest {
        Ok(text)
    } else {
        Err(ConfigError::WrongDigest { version })
    }
}
