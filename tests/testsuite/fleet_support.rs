//! Helpers for the tests of groups and zones: status, events and callers.

use std::collections::BTreeMap;

use cuminlb_caller::{EventsReport, EventsRequest, GroupStatus};
use cuminlb_events::{DissolveCause, Event, EventKind};
use cuminlb_standins::EngineOptions;
use cuminlb_test_support::{ModelPlan, Site, SiteBuilder, wait_until};
use cuminlb_types::prelude::*;
use http::Method;
use serde_json::json;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

/// The name of the model service.
pub(crate) const MODEL: &str = "oar-assist";

/// The age at which a member's proof is stale, as in the settings.
pub(crate) const PROOF_MAX_AGE_MS: Millis = Millis(1_000);

/// Returns a model plan whose engines are warm after a short cold start.
pub(crate) fn model_plan(replicas: u32, members: u32, spares: u32) -> ModelPlan {
    let engine = EngineOptions {
        cold_start_ms: Millis(100),
        ..EngineOptions::default()
    };
    ModelPlan::new(MODEL, replicas, members)
        .spares(spares)
        .engine(engine)
}

/// Returns each group at the newest epoch that any node reports, with its owner's status if there
/// is one.
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

/// Returns whether the owner of a group reports that it serves.
pub(crate) fn is_serving(group: &GroupStatus) -> bool {
    group.owned.is_some_and(|owned| owned.serving)
}

/// Waits until the groups satisfy `condition`, and returns them.
pub(crate) async fn wait_groups(
    site: &Site,
    what: &str,
    condition: impl Fn(&[GroupStatus]) -> bool,
) -> Vec<GroupStatus> {
    let mut found = Vec::new();
    wait_until(what, async || {
        found = groups(site).await;
        condition(&found)
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
    let response = site
        .operator_call(0, Method::POST, "/events", json!(request))
        .await
        .unwrap();
    let report: EventsReport = serde_json::from_slice(&response.body).unwrap();
    report.events
}

/// Returns the times at which requests were sent to a group at an epoch.
pub(crate) async fn sent_times(
    site: &Site,
    group_id: &GroupId,
    at_epoch: Epoch,
) -> Vec<UnixMillis> {
    let events = events(site).await;
    let sent = events.iter().filter(|event| match &event.kind {
        EventKind::RequestSent { group, epoch, .. } => group == group_id && *epoch == at_epoch,
        _ => false,
    });
    sent.map(|event| event.time.wall_ms).collect()
}

/// Starts a site with three nodes and returns its first group.
pub(crate) async fn start_site(model: ModelPlan) -> (Site, GroupStatus) {
    let site = SiteBuilder::default()
        .nodes(3)
        .model(model)
        .start_serving()
        .await
        .unwrap();
    let group = groups(&site).await.remove(0);
    (site, group)
}

/// Returns why a group was dissolved at its epoch.
pub(crate) fn dissolve_cause(events: &[Event], ended: &GroupStatus) -> Option<DissolveCause> {
    events.iter().find_map(|event| match &event.kind {
        EventKind::GroupDissolved {
            group,
            epoch,
            cause,
            ..
        } if *group == ended.id && *epoch == ended.epoch => Some(cause.clone()),
        _ => None,
    })
}

/// Waits until a group serves at a later epoch.
pub(crate) async fn wait_repaired(site: &Site, before: &GroupStatus) -> GroupStatus {
    let is_repaired = |found: &[GroupStatus]| {
        found
            .iter()
            .any(|group| group.id == before.id && group.epoch > before.epoch && is_serving(group))
    };
    let found = wait_groups(site, "the group is repaired", is_repaired).await;
    found
        .into_iter()
        .find(|group| group.id == before.id)
        .unwrap()
}

/// Callers that each send one request after another; they are distributed over the nodes. Each request
/// has a prompt of its own, since requests with the same prompt go to the same group.
pub(crate) struct Callers {
    stop: CancellationToken,
    tasks: JoinSet<Vec<u16>>,
}

impl Callers {
    /// Starts `count` callers.
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
                    let content = format!("request {} of caller {number}", statuses.len());
                    let messages = [json!({ "role": "user", "content": content })];
                    let body = json!({ "model": MODEL, "max_tokens": 2, "messages": messages });
                    let headers = [("authorization", authorization.as_str())];
                    let response = client
                        .call(Method::POST, &url, &headers, body.to_string())
                        .await;
                    statuses.push(response.map_or(0, |response| response.status.as_u16()));
                }
                statuses
            });
        }
        Self { stop, tasks }
    }

    /// Stops the callers and returns the statuses of all responses; 0 stands for no response.
    pub(crate) async fn stop(mut self) -> Vec<u16> {
        self.stop.cancel();
        let mut statuses = Vec::new();
        while let Some(joined) = self.tasks.join_next().await {
            statuses.extend(joined.unwrap());
        }
        statuses
    }
}
