//! Stores and fetches the text of configurations, and applies configurations to this node.

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
use crate::node::{ActiveConfig, Node};
use crate::observing::record_zone_changes;

/// Applies a configuration that was read from the table, and returns whether it is newer than the
/// one that was in effect. Others are ignored.
///
/// # Errors
///
/// Returns [`ConfigError`] when its text cannot be fetched or parsed. The node's knowledge of the
/// configuration is then not fresh.
pub(super) async fn apply_config_row(
    node: &Node,
    row: Row<ConfigRow>,
) -> Result<bool, ConfigError> {
    let version = row.value.version;
    node.freshness.record_newest_config(version);
    if version <= node.view.borrow().config_version() {
        return Ok(false);
    }
    let text = fetch_config_text(node, row.value).await?;
    apply_config_text(node, version, row.version, text)
}

/// Fetches the configuration that is in effect on a peer, and applies it here if it is newer.
pub(super) async fn fetch_config_from_peer(node: &Node, peer: &NodeId, link: &PeerLink) {
    match link.config().await {
        Ok(Some(document)) => {
            node.freshness.record_newest_config(document.version);
            let applied = apply_config_text(node, document.version, document.row, document.text);
            if let Err(error) = applied {
                warn!("failed to apply the configuration of peer {peer}: {error}");
            }
        }
        Ok(None) => {}
        Err(error) => debug!("failed to fetch the configuration of peer {peer}: {error}"),
    }
}

/// Parses a configuration and applies it if it is newer than the one in effect; returns whether it
/// was applied.
///
/// # Errors
///
/// Returns [`ConfigError::Unreadable`] when the text cannot be parsed.
pub fn apply_config_text(
    node: &Node,
    version: ConfigVersion,
    row: RowVersion,
    body: String,
) -> Result<bool, ConfigError> {
    let spec =
        FleetSpec::parse("config/head", &body).map_err(|errors| ConfigError::Unreadable {
            version,
            report: errors.to_smolstr(),
        })?;
    let config = Arc::new(ActiveConfig {
        version,
        row,
        body,
        spec,
    });
    // Several tasks apply configurations, so the comparison and the update must be atomic.
    let mut previous = None;
    let is_newer = node.view.send_if_modified(|view| {
        let is_newer = version > view.config_version();
        if is_newer {
            previous = view.config.replace(Arc::clone(&config));
        }
        is_newer
    });
    if is_newer {
        let previous = previous.as_ref().map(|previous| &previous.spec);
        record_zone_changes(&node.events, previous, &config.spec, version);
        node.events.record(EventKind::ConfigInForce { version });
        node.poll_now.notify_one();
    }
    Ok(is_newer)
}

/// Writes the text of a configuration to the object store, unless its row holds the text inline.
///
/// # Errors
///
/// Returns [`PlatformError`] when the write was not acknowledged, so the text may not be stored.
pub async fn store_config_text(
    node: &Node,
    row: &ConfigRow,
    text: &str,
) -> Result<(), PlatformError> {
    match row.body {
        ConfigBody::Inline(_) => Ok(()),
        ConfigBody::Object => {
            let key = RowKeys::config_object(&row.digest);
            let body = Bytes::copy_from_slice(text.as_bytes());
            node.objects.put(&key, body).await
        }
    }
}

/// Returns the text of a configuration from its row or the object store, with its digest checked.
async fn fetch_config_text(node: &Node, row: ConfigRow) -> Result<String, ConfigError> {
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
