//! Judges whether an instance or the link of this node is at fault.

use std::sync::Arc;

use cuminlb_peer::InstanceQuery;
use cuminlb_replica::RelayLane;
use cuminlb_routing::{ForwarderOutcome, InstanceVerdict, LinkFailure, SecondOpinion};
use cuminlb_types::prelude::*;
use futures_util::future::join_all;
use log::info;
use tokio::time::Instant;

use crate::gateway::Gateway;

/// The number of nodes that are asked at the same time.
const NODES_PER_ROUND: usize = 2;

/// The number of rounds until a node has an opinion.
const MAX_ROUNDS: usize = 3;

impl Gateway {
    /// Judges whether an instance that this node does not reach is lost, by what other nodes reach. If
    /// only the link of this node is, this is recorded.
    pub(crate) async fn judge_instance(
        self: &Arc<Self>,
        query: InstanceQuery,
        failure: LinkFailure,
    ) -> InstanceVerdict {
        let mut verdict = self.judgements.join_or_start(self, query, failure);
        let verdict = verdict.wait_for(Option::is_some).await;
        // The judgement has failed if its task ended without a verdict.
        verdict.map_or(InstanceVerdict::Undecided, |verdict| {
            verdict.unwrap_or(InstanceVerdict::Undecided)
        })
    }
}

/// Asks other nodes about an instance, and records what follows for the links of this node.
pub(super) async fn ask_others(
    gateway: &Arc<Gateway>,
    query: &InstanceQuery,
    failure: LinkFailure,
) -> InstanceVerdict {
    let started_at = Instant::now();
    let mut opinions = Vec::new();
    let nodes = nodes_to_ask(gateway);
    for round in nodes.chunks(NODES_PER_ROUND).take(MAX_ROUNDS) {
        let asked = round.iter().map(|node| ask(gateway, node, query));
        opinions.extend(join_all(asked).await.into_iter().flatten());
        if opinions.iter().any(|it| *it != SecondOpinion::Unknown) {
            break;
        }
    }
    let verdict = InstanceVerdict::judge(&opinions);
    info!(
        instance:% = query.instance, failure:? = failure, verdict:? = verdict,
        opinions:? = opinions, age_ms = Millis::from(started_at.elapsed()).get();
        "instance judged"
    );
    let is_own_link = match verdict {
        InstanceVerdict::InstanceLost => false,
        InstanceVerdict::LinkLost => true,
        InstanceVerdict::Undecided => !gateway.reaches_another(&query.instance, started_at).await,
    };
    if is_own_link {
        gateway.record_outage(&query.instance, failure);
    }
    verdict
}

/// Returns the other nodes, first those that forward requests as far as is known.
fn nodes_to_ask(gateway: &Gateway) -> Vec<NodeId> {
    let mut nodes = gateway.fit_forwarders();
    for candidate in gateway.other_nodes() {
        if !nodes.contains(&candidate.node) {
            nodes.push(candidate.node);
        }
    }
    nodes
}

async fn ask(gateway: &Gateway, node: &NodeId, query: &InstanceQuery) -> Option<SecondOpinion> {
    let directory = gateway.knowledge.directory();
    let link = gateway.peers.link(&directory, node, RelayLane::News)?;
    match link.examine_instance(query.clone()).await {
        Ok(opinion) => Some(opinion),
        Err(error) => {
            info!(node:% = node, instance:% = query.instance; "node has no opinion: {error}");
            let now = Instant::now();
            gateway
                .forwarder_board
                .record(node, ForwarderOutcome::Failed, now);
            None
        }
    }
}
