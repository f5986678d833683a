//! Detects outages of the store that affect all nodes.

use cuminlb_peer::{RelayPeer, StoreContact};
use cuminlb_types::prelude::*;
use futures_util::future::join_all;
use log::info;

use crate::gateway::Gateway;

/// Returns whether a majority of the nodes responds and the store serves none of them, so that no
/// node can have acquired the lease of this one.
pub(super) async fn is_store_outage(gateway: &Gateway) -> bool {
    let directory = gateway.knowledge.directory();
    let peers = gateway.peers.others(&directory);
    let cursors = gateway.replica.cursors();
    let requests = peers
        .iter()
        .map(|(_, link)| link.await_update(cursors, Millis(0)));
    let responses = join_all(requests).await;
    let contacts: Vec<StoreContact> = responses
        .iter()
        .flatten()
        .map(|update| update.contact)
        .collect();
    let served = contacts.iter().filter(|it| **it == StoreContact::Served);
    let served_count = served.count();
    let is_outage = served_count == 0 && (contacts.len() + 1) * 2 > peers.len() + 1;
    info!(
        peers = peers.len(), answered = contacts.len(), served = served_count,
        is_outage = is_outage;
        "peers asked for the store"
    );
    is_outage
}
