//! Tests of availability zones that operators take out of service and bring back.

use std::collections::HashSet;

use cuminlb_caller::GroupStatus;
use cuminlb_events::EventKind;
use cuminlb_standins::EngineOptions;
use cuminlb_test_support::{HttpResponse, ModelPlan, Site, SiteBuilder, SiteError, wait_until};
use cuminlb_types::prelude::*;
use http::{Method, StatusCode};
use serde_json::json;
use tokio::task::JoinSet;

use crate::fleet_support::{Callers, MODEL, events, groups, is_serving, wait_groups};

/// The time after which a zone that was taken out may get no new requests.
const ZONE_OUT_BOUND_MS: u64 = 5_000;

/// The number of tokens of a stream that lasts longer than [`ZONE_OUT_BOUND_MS`].
const LONG_STREAM_TOKENS: usize = 800;

/// Starts `count` long streams, distributed over the nodes.
fn start_streams(site: &Site, count: usize) -> JoinSet<Result<HttpResponse, SiteError>> {
    let mut streams = JoinSet::new();
    for number in 0..count {
        let url = site.caller_url(number % site.nodes.len(), "/v1/chat/completions");
        let client = site.client().clone();
        let authorization = format!("Bearer {}", site.api_key());
        streams.spawn(async move {
            let content = format!("stream {number}");
            let body = json!({
                "model": MODEL,
                "stream": true,
                "max_tokens": LONG_STREAM_TOKENS,
                "messages": [{ "role": "user", "content": content }],
            });
            let headers = [("authorization", authorization.as_str())];
            client
                .call(Method::POST, &url, &headers, body.to_string())
                .await
        });
    }
    streams
}

/// Returns the times at which requests were sent to any of the groups.
async fn sent_times_of_groups(site: &Site, group_ids: &HashSet<GroupId>) -> Vec<UnixMillis> {
    let events = events(site).await;
    let sent = events.iter().filter(|event| {
        matches!(&event.kind, EventKind::RequestSent { group, .. } if group_ids.contains(group))
    });
    sent.map(|event| event.time.wall_ms).collect()
}

/// Waits until a request was sent to any of the groups, and returns the zone of that group. A group may
/// get none of a few requests.
async fn zone_of_first_request(site: &Site, groups: &[GroupStatus]) -> ZoneId {
    let mut zone = None;
    wait_until("a stream is in flight", async || {
        for group in groups {
            let ids = HashSet::from([group.id.clone()]);
            if !sent_times_of_groups(site, &ids).await.is_empty() {
                zone = Some(group.zone.clone());
            }
        }
        zone.is_some()
    })
    .await
    .unwrap();
    zone.unwrap()
}

fn groups_in_zone(found: &[GroupStatus], zone: &ZoneId) -> HashSet<GroupId> {
    let groups = found.iter().filter(|group| group.zone == *zone);
    groups.map(|group| group.id.clone()).collect()
}

fn serving_outside_zone(found: &[GroupStatus], zone: &ZoneId) -> usize {
    let groups = found.iter();
    groups
        .filter(|group| is_serving(group) && group.zone != *zone)
        .count()
}

#[tokio::test]
async fn a_zone_taken_out_finishes_its_streams_and_gets_no_new_requests() {
    let engine = EngineOptions {
        cold_start_ms: Millis(100),
        token_gap_ms: Millis(10),
        ..EngineOptions::default()
    };
    let site = SiteBuilder::default()
        .nodes(3)
        .model(ModelPlan::new(MODEL, 3, 2).spares(6).engine(engine))
        .start_serving()
        .await
        .unwrap();
    let before = groups(&site).await;
    let mut streams = start_streams(&site, 9);
    let zone = zone_of_first_request(&site, &before).await;
    let zone_groups = groups_in_zone(&before, &zone);
    let callers = Callers::start(&site, 6);
    site.apply(&site.fleet_toml_with_zones_out(&[zone.as_str()]))
        .await
        .unwrap();
    let out_at = UnixMillis::now().get();
    wait_groups(&site, "three groups serve elsewhere", |found| {
        serving_outside_zone(found, &zone) == 3
    })
    .await;
    wait_until("the bound has passed", async || {
        UnixMillis::now().get() > out_at + ZONE_OUT_BOUND_MS + 1_000
    })
    .await
    .unwrap();
    let found = groups(&site).await;
    let last = sent_times_of_groups(&site, &groups_in_zone(&found, &zone)).await;
    let last = last.into_iter().map(UnixMillis::get).max().unwrap();
    assert!(
        last <= out_at + ZONE_OUT_BOUND_MS,
        "sent {} ms after the zone was taken out",
        last - out_at
    );
    while let Some(stream) = streams.join_next().await {
        let response = stream.unwrap().unwrap();
        assert_eq!(response.status, StatusCode::OK);
        let text = response.text();
        let chunks = text.matches("chat.completion.chunk").count();
        assert_eq!(chunks, LONG_STREAM_TOKENS);
        assert!(text.ends_with("data: [DONE]\n\n"));
    }
    site.apply(&site.fleet_toml()).await.unwrap();
    let back_at = UnixMillis::now();
    wait_until("the zone gets requests again", async || {
        let sent = sent_times_of_groups(&site, &zone_groups).await;
        sent.into_iter().any(|at| at > back_at)
    })
    .await
    .unwrap();
    wait_groups(&site, "the excess group is dissolved", |found| {
        found.len() == 3 && found.iter().all(is_serving)
    })
    .await;
    let statuses = callers.stop().await;
    let failed = statuses.iter().filter(|status| **status != 200).count();
    assert_eq!(failed, 0, "of {} requests", statuses.len());
    site.shut_down().await;
}

#[tokio::test]
async fn a_zone_that_returns_cold_is_not_overloaded() {
    let engine = EngineOptions {
        cold_start_ms: Millis(2_000),
        cold_limit: SlotCount(2),
        warm_limit: SlotCount(16),
        ..EngineOptions::default()
    };
    let mut site = SiteBuilder::default()
        .nodes(3)
        .model(ModelPlan::new(MODEL, 3, 2).engine(engine))
        .start_serving()
        .await
        .unwrap();
    let is_warm = |group: &GroupStatus| group.owned.is_some_and(|owned| owned.warm);
    wait_groups(&site, "every group is warm", |found| {
        found.iter().all(is_warm)
    })
    .await;
    let before = groups(&site).await;
    let zone = before[0].zone.clone();
    site.apply(&site.fleet_toml_with_zones_out(&[zone.as_str()]))
        .await
        .unwrap();
    let members: Vec<usize> = before
        .iter()
        .filter(|group| group.zone == zone)
        .flat_map(|group| &group.members)
        .map(|member| site.upstream_index(member).unwrap())
        .collect();
    for member in &members {
        site.restart_upstream(*member).await.unwrap();
    }
    wait_groups(&site, "the groups of the zone are gone", |found| {
        groups_in_zone(found, &zone).is_empty()
    })
    .await;
    let callers = Callers::start(&site, 60);
    site.apply(&site.fleet_toml()).await.unwrap();
    let found = wait_groups(&site, "a cold group has requests", |found| {
        let is_cold = |group: &&GroupStatus| group.zone == zone && !is_warm(group);
        let mut owned = found.iter().filter(is_cold).filter_map(|group| group.owned);
        owned.any(|owned| owned.taken > SlotCount(0))
    })
    .await;
    for group in found.iter().filter(|group| group.zone == zone) {
        assert!(group.owned.is_none_or(|owned| owned.limit == SlotCount(2)));
    }
    wait_groups(&site, "the group is warm", |found| {
        found
            .iter()
            .any(|group| group.zone == zone && is_warm(group))
    })
    .await;
    let zone_groups = groups_in_zone(&groups(&site).await, &zone);
    let sent = sent_times_of_groups(&site, &zone_groups).await.len();
    wait_until("the warm group gets more requests", async || {
        sent_times_of_groups(&site, &zone_groups).await.len() > sent + 100
    })
    .await
    .unwrap();
    callers.stop().await;
    for member in members {
        let has_crashed = site.upstreams[member].process.has_ended();
        assert!(
            !has_crashed,
            "a cold engine crashed because it got more requests than its limit"
        );
    }
    site.shut_down().await;
}
