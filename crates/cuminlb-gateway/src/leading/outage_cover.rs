//! [`is_outage_for_all`].

use cuminlb_catalog::StoreTable;
use futures_util::future::join_all;
use log::info;

use crate::gateway::Gateway;

/// Tells whether most nodes answer and none of them is served by the store, so that nobody can
/// have taken the lease of this node.
pub(super) async fn is_outage_for_all(gateway: &Gateway) -> bool {
    let directory = gateway.knowledge.directory();
    let peers = gateway.peers.others(&directory);
    let after = gateway.knowledge.version(StoreTable::Nodes);
    let asked = peers
        .iter()
        .map(|(_, link)| link.rows_since(StoreTable::Nodes, after));
    let answers = join_all(asked).await;
    let answered = answers.iter().flatten().count();
    let served = answers.iter().flatten().filter(|rows| !rows.is_store_lost);
    let served = served.count();
    let is_outage = served == 0 && (answered + 1) * 2 > peers.len() + 1;
    info!(
        peers = peers.len(), answered = answered, served = served, is_outage = is_outage;
        "peers asked for the store"
    );
    is_outage
}
