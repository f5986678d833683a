//! Judges whether an instance or the link of this node is at fault.

use std::sync::Arc;

use cuminlb_peer::InstanceQuery;
use cuminlb_replica::RelayLane;
use cuminlb_routing::{
    CheckTiming, ForwarderOutcome, InstanceVerdict, LinkFailure, SecondOpinion, adviser_order,
};
use cuminlb_types::prelude::*;
use futures_util::future::join_all;
use log::info;
use smol_str::ToSmolStr;
use tokio::time::{Instant, timeout};

use crate::gateway::Gateway;

/// The number of nodes that are asked first. Each further round asks twice as many.
const FIRST_ROUND_NODES: usize = 2;

/// The number of rounds until a node has an opinion.
const MAX_ROUNDS: usize = 4;

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
    let opinions = collect_opinions(gateway, query).await;
    let verdict = InstanceVerdict::judge(&opinions);
    let is_unheard = opinions.is_empty() && !gateway.other_nodes().is_empty();
    let verdict = if is_unheard || verdict == InstanceVerdict::Undecided {
        judge_alone(gateway, query, started_at).await
    } else {
        verdict
    };
    info!(
        instance:% = query.instance, failure:? = failure, verdict:? = verdict,
        opinions:? = opinions, age_ms = Millis::from(started_at.elapsed()).get();
        "instance judged"
    );
    let is_own_link = match verdict {
        InstanceVerdict::InstanceLost => false,
        InstanceVerdict::LinkLost => true,
        InstanceVerdict::Undecided => !gateway.links.has_contact_since(started_at),
    };
    if is_own_link {
        gateway.confirm_loss(&query.instance).await;
        gateway.record_outage(&query.instance, failure);
    }
    verdict
}

/// Asks other nodes about an instance until one has an opinion.
async fn collect_opinions(gateway: &Gateway, query: &InstanceQuery) -> Vec<SecondOpinion> {
    let mut opinions = Vec::new();
    let mut nodes = nodes_to_ask(gateway, &query.instance).into_iter();
    for round in 0..MAX_ROUNDS {
        let asked = nodes.by_ref().take(FIRST_ROUND_NODES << round);
        let asked: Vec<NodeId> = asked.collect();
        let answers = asked.iter().map(|node| ask(gateway, node, query));
        opinions.extend(join_all(answers).await.into_iter().flatten());
        if opinions.iter().any(|it| *it != SecondOpinion::Unknown) {
            break;
        }
    }
    opinions
}

/// Judges an instance on which no other node has an opinion, as where the others reach no instance at
/// all, or do not respond. It is lost if this node reaches another instance and, after that, still not
/// this one, or if there is no other.
async fn judge_alone(gateway: &Gateway, query: &InstanceQuery, since: Instant) -> InstanceVerdict {
    let directory = gateway.knowledge.directory();
    let mut instances = directory.services.values().flat_map(|it| it.keys());
    let has_others = instances.any(|id| *id != query.instance);
    if has_others && !gateway.reaches_another(&query.instance, since).await {
        return InstanceVerdict::Undecided;
    }
    let Some(entry) = directory.find_instance(&query.instance) else {
        return InstanceVerdict::InstanceLost;
    };
    match gateway.probe_link(entry).await {
        Ok(()) => InstanceVerdict::Undecided,
        Err(_) => InstanceVerdict::InstanceLost,
    }
}

/// Returns the other nodes in the order in which they are asked about an instance, last those that
/// reach no instances as far as is known.
fn nodes_to_ask(gateway: &Gateway, instance: &InstanceId) -> Vec<NodeId> {
    let directory = gateway.knowledge.directory();
    let entry = directory.find_instance(instance);
    let zone = entry.map_or(&gateway.settings.zone, |entry| &entry.zone);
    let others = gateway.other_nodes().into_iter();
    let nodes = others.filter_map(|it| {
        let zone = directory.nodes.get(&it.node)?.zone.clone();
        Some((it.node, zone))
    });
    let fit = gateway.fit_forwarders();
    let mut order = adviser_order(nodes.collect(), zone, &mut rand::rng());
    order.sort_by_key(|node| !fit.contains(node));
    order
}

async fn ask(gateway: &Gateway, node: &NodeId, query: &InstanceQuery) -> Option<SecondOpinion> {
    let directory = gateway.knowledge.directory();
    let link = gateway.peers.link(&directory, node, RelayLane::News)?;
    let wait = CheckTiming::OPINION_WAIT_MS.duration();
    let failure = match timeout(wait, link.examine_instance(query.clone())).await {
        Ok(Ok(opinion)) => return Some(opinion),
        Ok(Err(error)) => error.to_smolstr(),
        Err(elapsed) => elapsed.to_smolstr(),
    };
    info!(node:% = node, instance:% = query.instance; "node has no opinion: {failure}");
    let now = Instant::now();
    gateway
        .forwarder_board
        .record(node, ForwarderOutcome::Failed, now);
    None
}
