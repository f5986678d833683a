//! What the tests of groups and zones share.

use std::collections::BTreeMap;

use cuminlb_caller::{EventsReport, EventsRequest, GroupStatus};
use cuminlb_events::{Event, EventKind};
use cuminlb_standins::EngineOptions;
use cuminlb_test_support::{ModelPlan, Site, wait_until};
use cuminlb_types::prelude::*;
use http::Method;
use serde_json::json;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

/// The name of the model service.
pub(crate) const MODEL: &str = "oar-assist";

/// The age at which a proof has gone stale, as the settings have it.
pub(crate) const PROOF_MAX_AGE_MS: Millis = Millis(1_000);

/// Returns a model whose engines are warm soon.
pub(crate) fn model(replicas: u32, members: u32, spares: u32) -> ModelPlan {
    let engine = EngineOptions {
        cold_start_ms: Millis(100),
        ..EngineOptions::default()
    };
    ModelPlan::new(MODEL, replicas, members)
        .spares(spares)
        .engine(engine)
}

/// Returns the groups with the newest state that any node knows; what the owner knows comes
/// from the owner.
pub(crate) async fn groups(site: &Site) -> Vec<GroupStatus> {
    let mut newest: BTreeMap<GroupId, GroupStatus> = BTreeMap::new();
    for node in 0..site.nodes.len() {
        let Ok(status) = site.status(node).await else {
            continue;
        };
        let services = status.services.into_iter();
        for group in services.flat_map(|service| service.groups) {
            match newest.get(&group.id) {
                Some(known)
                    if (known.epoch, known.owned.is_some())
                        >= (group.epoch, group.owned.is_some()) => {}
                _ => {
                    newest.insert(group.id.clone(), group);
                }
            }
        }
    }
    newest.into_values().collect()
}

/// Tells whether a group serves, as its owner says.
pub(crate) fn serves(group: &GroupStatus) -> bool {
    group.owned.is_some_and(|owned| owned.serving)
}

/// Waits until the groups are as wanted and returns them.
pub(crate) async fn wait_groups(
    site: &Site,
    what: &str,
    wanted: impl Fn(&[GroupStatus]) -> bool,
) -> Vec<GroupStatus> {
    let mut found = Vec::new();
    wait_until(what, async || {
        found = groups(site).await;
        wanted(&found)
    })
    .await
    .unwrap();
    found
}

/// Returns the events of all nodes, in causal order.
pub(crate) async fn events(site: &Site) -> Vec<Event> {
    let request = EventsRequest {
        limit: 100_000,
        ..EventsRequest::default()
    };
    let answer = site
        .operator_call(0, Method::POST, "/events", json!(request))
        .await
        .unwrap();
    let report: EventsReport = serde_json::from_slice(&answer.body).unwrap();
    report.events
}

/// Returns when each request was sent to a group at an epoch.
pub(crate) async fn sent_times(site: &Site, wanted: &GroupId, at: Epoch) -> Vec<UnixMillis> {
    let events = events(site).await;
    let sent = events.iter().filter(|event| match &event.kind {
        EventKind::RequestSent { group, epoch, .. } => group == wanted && *epoch == at,
        _ => false,
    });
    sent.map(|event| event.time.wall_ms).collect()
}

/// Callers that send one request after the other, in turn through each node.
pub(crate) struct Callers {
    stop: CancellationToken,
    tasks: JoinSet<Vec<u16>>,
}

impl Callers {
    /// Starts a number of callers.
    pub(crate) fn start(site: &Site, count: usize) -> Self {
        let stop = CancellationToken::new();
        let mut tasks = JoinSet::new();
        for number in 0..count {
            let url = site.caller_url(number % site.nodes.len(), "/v1/chat/completions");
            let client = site.client().clone();
            let authorization = format!("Bearer {}", site.api_key());
            let stop = stop.clone();
            tasks.spawn(async move {
                let mut statuses = Vec::new();
                while !stop.is_cancelled() {
                    let body = json!({ "model": MODEL, "max_tokens": 2, "messages": [] });
                    let headers = [("authorization", authorization.as_str())];
                    let answer = client
                        .call(Method::POST, &url, &headers, body.to_string())
                        .await;
                    statuses.push(answer.map_or(0, |answer| answer.status.as_u16()));
                }
                statuses
            });
        }
        Self { stop, tasks }
    }

    /// Stops the callers and returns the statuses of all answers; 0 stands for none.
    pub(crate) async fn stop(mut self) -> Vec<u16> {
        self.stop.cancel();
        let mut statuses = Vec::new();
        while let Some(joined) = self.tasks.join_next().await {
            statuses.extend(joined.unwrap());
        }
        statuses
    }
}
