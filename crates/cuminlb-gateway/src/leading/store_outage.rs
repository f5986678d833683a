//! Detects outages of the store that affect all nodes.

use cuminlb_catalog::StoreTable;
use futures_util::future::join_all;
use log::info;

use crate::gateway::Gateway;

/// Returns whether a majority of the nodes responds and the store serves none of them, so that no
/// node can have acquired the lease of this one.
pub(super) async fn is_store_outage(gateway: &Gateway) -> bool {
    let directory = gateway.knowledge.directory();
    let peers = gateway.peers.others(&directory);
    let after = gateway.knowledge.version(StoreTable::Nodes);
    let requests = peers
        .iter()
        .map(|(_, link)| link.rows_since(StoreTable::Nodes, after));
    let responses = join_all(requests).await;
    let responded = responses.iter().flatten().count();
    let served_peers = responses
        .iter()
        .flatten()
        .filter(|rows| !rows.is_store_lost);
    let served_count = served_peers.count();
    let is_outage = served_count == 0 && (responded + 1) * 2 > peers.len() + 1;
    info!(
        peers = peers.len(), answered = responded, served = served_count, is_outage = is_outage;
        "peers asked for the store"
    );
    is_outage
}
