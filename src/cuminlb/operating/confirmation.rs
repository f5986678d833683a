//! Determines on which nodes a committed configuration is active.

use std::time::Duration;

use cuminlb_caller::ApplyReport;
use cuminlb_fleet::freshness::ConfigReplacement;
use cuminlb_peer::TableNotice;
use cuminlb_types::prelude::*;
use futures_util::future::join_all;
use tokio::time::Instant;

use crate::node::Node;

/// How long to wait until every node has confirmed the configuration or has provably stopped.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(5);

/// The pause between two rounds of requests to the nodes.
const CONFIRM_POLL_PERIOD: Duration = Duration::from_millis(50);

/// Polls the listed nodes until all have confirmed that the version is active, until those that
/// have not have provably stopped, or until [`CONFIRM_TIMEOUT`] has elapsed since the commit.
pub(super) async fn confirm(
    node: &Node,
    version: ConfigVersion,
    committed_by: Instant,
) -> ApplyReport {
    let bounds = node.freshness.bounds();
    let mut replacement = ConfigReplacement::new(committed_by);
    loop {
        let round = poll_nodes(node, version, committed_by).await;
        replacement.record_notified(round.notified, round.listed, Instant::now());
        let now = Instant::now();
        let unconfirmed_stopped = replacement.stopped_at(bounds).is_some_and(|at| now >= at);
        let has_timed_out = now >= committed_by + CONFIRM_TIMEOUT;
        if round.unconfirmed.is_empty() || unconfirmed_stopped || has_timed_out {
            return round.report(version, unconfirmed_stopped);
        }
        tokio::time::sleep(CONFIRM_POLL_PERIOD).await;
    }
}

/// The responses of one round.
struct Round {
    /// The number of listed nodes that know the version, this one included.
    notified: usize,
    listed: usize,
    active: Vec<NodeId>,
    unconfirmed: Vec<NodeId>,
}

impl Round {
    fn report(self, version: ConfigVersion, unconfirmed_stopped: bool) -> ApplyReport {
        let (stopped, not_confirmed) = if unconfirmed_stopped {
            (self.unconfirmed, Vec::new())
        } else {
            (Vec::new(), self.unconfirmed)
        };
        ApplyReport {
            version,
            in_force: self.active,
            stopped,
            not_confirmed,
        }
    }
}

/// Notifies every listed node of the version and collects the versions that are active there.
async fn poll_nodes(node: &Node, version: ConfigVersion, committed_by: Instant) -> Round {
    let listed = node.listed_nodes();
    let others = listed.iter().filter(|peer| *peer != node.id());
    let responses = join_all(others.map(|peer| poll_node(node, peer, version, committed_by))).await;
    let mut round = Round {
        notified: usize::from(listed.contains(node.id())),
        listed: listed.len(),
        active: Vec::new(),
        unconfirmed: Vec::new(),
    };
    let own_version = node.view.borrow().config_version();
    let own_response = (node.id().clone(), Some(own_version));
    for (peer, config) in responses.into_iter().chain([own_response]) {
        round.notified += usize::from(config.is_some() && peer != *node.id());
        if config.is_some_and(|config| config >= version) {
            round.active.push(peer);
        } else {
            round.unconfirmed.push(peer);
        }
    }
    round
}

/// Returns the version that is active on a node, or `None` if it did not acknowledge the notice.
async fn poll_node(
    node: &Node,
    peer: &NodeId,
    version: ConfigVersion,
    committed_by: Instant,
) -> (NodeId, Option<ConfigVersion>) {
    let Some(link) = node.peers.get(peer) else {
        return (peer.clone(), None);
    };
    let notice = TableNotice {
        node: node.id().clone(),
        read_age_ms: committed_by.elapsed().into(),
        newest_config: version,
    };
    let status = link.announce(notice).await.ok();
    let status = status.filter(|status| status.node == *peer);
    (peer.clone(), status.map(|status| status.config))
}
