//! Tells the listed nodes that the table is heard, before or after a right is taken away.

use cuminlb_fleet::freshness::Quorum;
use cuminlb_peer::TableNotice;
use cuminlb_types::prelude::*;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::Instant;

use crate::node::Node;

/// How many of the listed nodes took a notice, the sender included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gathered {
    /// The number of nodes that took the notice.
    pub told: usize,
    /// The number of listed nodes, the sender included.
    pub listed: usize,
}

impl Gathered {
    /// Tells whether enough nodes took the notice to take a right away.
    pub const fn is_enough(&self) -> bool {
        self.told >= Quorum::of(self.listed).to_revoke()
    }
}

/// Sends a notice of a read that was sent at `read_sent_at` to the listed nodes, and returns once
/// enough have taken it or `deadline` has come.
pub async fn gather(
    node: &Node,
    read_sent_at: Instant,
    newest_config: ConfigVersion,
    deadline: Instant,
) -> Gathered {
    let listed = node.listed_nodes();
    let others = listed.iter().filter(|peer| *peer != node.id());
    let mut notices: FuturesUnordered<_> = others
        .map(|peer| send_notice(node, peer, read_sent_at, newest_config))
        .collect();
    let mut gathered = Gathered {
        told: usize::from(listed.contains(node.id())),
        listed: listed.len(),
    };
    while !gathered.is_enough() {
        match tokio::time::timeout_at(deadline, notices.next()).await {
            Ok(Some(taken)) => gathered.told += usize::from(taken),
            Ok(None) | Err(_) => break,
        }
    }
    gathered
}

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
    let answer = link.announce(notice).await;
    answer.is_ok_and(|statement| statement.node == *peer)
}
