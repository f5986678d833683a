//! Notifies the listed nodes that the table is reachable, before or after a right is revoked.

use cuminlb_fleet::freshness::Quorum;
use cuminlb_peer::TableNotice;
use cuminlb_types::prelude::*;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::Instant;

use crate::node::Node;

/// How many of the listed nodes acknowledged a notice, the sender included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotifiedNodes {
    /// The number of nodes that acknowledged the notice.
    pub notified: usize,
    /// The number of listed nodes, the sender included.
    pub listed: usize,
}

impl NotifiedNodes {
    /// Returns whether enough nodes acknowledged the notice to revoke a right.
    pub const fn is_quorum(&self) -> bool {
        self.notified >= Quorum::of(self.listed).to_revoke()
    }
}

/// Notifies the listed nodes of a table read that was sent at `read_sent_at`.
///
/// Returns once enough nodes have acknowledged the notice, when none is left to wait for, or at
/// `deadline`.
pub async fn notify_listed_nodes(
    node: &Node,
    read_sent_at: Instant,
    newest_config: ConfigVersion,
    deadline: Instant,
) -> NotifiedNodes {
    let listed = node.listed_nodes();
    let others = listed.iter().filter(|peer| *peer != node.id());
    let mut notices: FuturesUnordered<_> = others
        .map(|peer| send_notice(node, peer, read_sent_at, newest_config))
        .collect();
    let mut result = NotifiedNodes {
        notified: usize::from(listed.contains(node.id())),
        listed: listed.len(),
    };
    while !result.is_quorum() {
        match tokio::time::timeout_at(deadline, notices.next()).await {
            Ok(Some(acknowledged)) => result.notified += usize::from(acknowledged),
            Ok(None) | Err(_) => break,
        }
    }
    result
}

/// Sends the notice to one peer; returns whether that peer acknowledged it.
async fn send_notice(
    node: &Node,
    peer: &NodeId,
    read_sent_at: Instant,
    newest_config: ConfigVersion,
) -> bool {
    let Some(link) = node.peers.get(peer) else {
        return false;
    };
    let notice = TableNotice {
        node: node.id().clone(),
        read_age_ms: read_sent_at.elapsed().into(),
        newest_config,
    };
    let response = link.announce(notice).await;
    response.is_ok_and(|status| status.node == *peer)
}
