//! Finds out where a committed configuration is in force.

use std::time::Duration;

use cuminlb_caller::ApplyReport;
use cuminlb_fleet::freshness::ConfigReplacement;
use cuminlb_peer::TableNotice;
use cuminlb_types::prelude::*;
use futures_util::future::join_all;
use tokio::time::Instant;

use crate::node::Node;

/// The time in which every node should confirm the configuration or have provably stopped.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(5);

/// The pause between two rounds of asking the nodes.
const CONFIRM_PAUSE: Duration = Duration::from_millis(50);

/// Asks the listed nodes until all have the version in force, until those that lack it have
/// provably stopped, or until the time has run out.
pub(super) async fn confirm(
    node: &Node,
    version: ConfigVersion,
    committed_by: Instant,
) -> ApplyReport {
    let bounds = node.freshness.bounds();
    let mut replacement = ConfigReplacement::new(committed_by);
    loop {
        let round = ask_nodes(node, version, committed_by).await;
        replacement.record_notified(round.told, round.listed, Instant::now());
        let now = Instant::now();
        let have_stopped = replacement.stopped_at(bounds).is_some_and(|at| now >= at);
        let is_over = now >= committed_by + CONFIRM_TIMEOUT;
        if round.lacking.is_empty() || have_stopped || is_over {
            return round.report(version, have_stopped);
        }
        tokio::time::sleep(CONFIRM_PAUSE).await;
    }
}

/// The answers of one round.
struct Round {
    told: usize,
    listed: usize,
    in_force: Vec<NodeId>,
    lacking: Vec<NodeId>,
}

impl Round {
    fn report(self, version: ConfigVersion, have_stopped: bool) -> ApplyReport {
        let (stopped, not_confirmed) = if have_stopped {
            (self.lacking, Vec::new())
        } else {
            (Vec::new(), self.lacking)
        };
        ApplyReport {
            version,
            in_force: self.in_force,
            stopped,
            not_confirmed,
        }
    }
}

/// Tells every listed node of the version, and asks which configuration is in force there.
async fn ask_nodes(node: &Node, version: ConfigVersion, committed_by: Instant) -> Round {
    let listed = node.listed_nodes();
    let others = listed.iter().filter(|peer| *peer != node.id());
    let answers = join_all(others.map(|peer| ask_node(node, peer, version, committed_by))).await;
    let mut round = Round {
        told: usize::from(listed.contains(node.id())),
        listed: listed.len(),
        in_force: Vec::new(),
        lacking: Vec::new(),
    };
    let own_config = node.view.borrow().config_version();
    let own = (node.id().clone(), Some(own_config));
    for (peer, config) in answers.into_iter().chain([own]) {
        round.told += usize::from(config.is_some() && peer != *node.id());
        if config.is_some_and(|config| config >= version) {
            round.in_force.push(peer);
        } else {
            round.lacking.push(peer);
        }
    }
    round
}

/// Returns the configuration in force on a node, or `None` where it did not take the notice.
async fn ask_node(
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
    let statement = link.announce(notice).await.ok();
    let statement = statement.filter(|statement| statement.node == *peer);
    (peer.clone(), statement.map(|statement| statement.config))
}
