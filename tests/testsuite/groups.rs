//! Groups whose members die, pause, restart or leave.

use cuminlb_caller::GroupStatus;
use cuminlb_events::{DissolveCause, Event, EventKind};
use cuminlb_standins::EngineOptions;
use cuminlb_test_support::{ModelPlan, Site, SiteBuilder, wait_until};
use cuminlb_types::prelude::*;
use http::{Method, StatusCode};
use nix::sys::signal::Signal;
use serde_json::json;

use crate::fleet_support::{
    Callers, MODEL, PROOF_MAX_AGE_MS, events, groups, model, sent_times, serves, wait_groups,
};

async fn start(model: ModelPlan) -> (Site, GroupStatus) {
    let site = SiteBuilder::default()
        .nodes(3)
        .model(model)
        .start_serving()
        .await
        .unwrap();
    let group = groups(&site).await.remove(0);
    (site, group)
}

fn cause(events: &[Event], wanted: &GroupStatus) -> Option<DissolveCause> {
    events.iter().find_map(|event| match &event.kind {
        EventKind::GroupDissolved {
            group,
            epoch,
            cause,
            ..
        } if *group == wanted.id && *epoch == wanted.epoch => Some(cause.clone()),
        _ => None,
    })
}

/// Checks that no request was sent to an epoch later than a bound after a member was lost.
async fn check_stopped(site: &Site, group: &GroupStatus, lost_at: UnixMillis, bound_ms: Millis) {
    let sent = sent_times(site, &group.id, group.epoch).await;
    let last = sent.iter().max().unwrap();
    assert!(!sent.is_empty());
    assert!(
        last.get() <= lost_at.get() + bound_ms.get(),
        "sent {} ms after the loss",
        last.get() - lost_at.get()
    );
}

async fn repaired(site: &Site, before: &GroupStatus) -> GroupStatus {
    let is_repaired = |found: &[GroupStatus]| {
        found
            .iter()
            .any(|group| group.id == before.id && group.epoch > before.epoch && serves(group))
    };
    let found = wait_groups(site, "the group is repaired", is_repaired).await;
    found
        .into_iter()
        .find(|group| group.id == before.id)
        .unwrap()
}

#[tokio::test]
async fn a_killed_member_stops_the_group_and_a_spare_repairs_it() {
    let (mut site, group) = start(model(1, 2, 1)).await;
    let callers = Callers::start(&site, 6);
    wait_until("requests are sent", async || {
        sent_times(&site, &group.id, group.epoch).await.len() > 20
    })
    .await
    .unwrap();
    let lost = group.members[1].clone();
    let index = site.upstream_index(&lost).unwrap();
    site.upstreams[index].process.kill().await;
    let lost_at = UnixMillis::now();
    let after = repaired(&site, &group).await;
    let statuses = callers.stop().await;
    assert!(!after.members.contains(&lost));
    assert!(after.members.contains(&group.members[0]));
    // The next probe is refused, and one more request may be on its way from the grant.
    check_stopped(&site, &group, lost_at, Millis(600)).await;
    assert!(statuses.contains(&200));
    let events = events(&site).await;
    let missing = DissolveCause::MemberMissing { instance: lost };
    assert_eq!(cause(&events, &group), Some(missing));
    site.shut_down().await;
}

#[tokio::test]
async fn a_paused_member_stops_the_group_and_stays_out_when_it_returns() {
    let (site, group) = start(model(1, 2, 1)).await;
    let callers = Callers::start(&site, 6);
    wait_until("requests are sent", async || {
        sent_times(&site, &group.id, group.epoch).await.len() > 20
    })
    .await
    .unwrap();
    let paused = group.members[1].clone();
    let index = site.upstream_index(&paused).unwrap();
    site.upstreams[index].process.signal(Signal::SIGSTOP);
    let lost_at = UnixMillis::now();
    let after = repaired(&site, &group).await;
    assert!(!after.members.contains(&paused));
    check_stopped(&site, &group, lost_at, PROOF_MAX_AGE_MS + Millis(100)).await;
    site.upstreams[index].process.signal(Signal::SIGCONT);
    wait_until("the paused engine answers again", async || {
        let answer = site
            .call_upstream(index, Method::GET, "/control/report")
            .await;
        answer.is_ok_and(|answer| answer.status == StatusCode::OK)
    })
    .await
    .unwrap();
    let served = sent_times(&site, &after.id, after.epoch).await.len();
    wait_until("the repaired group goes on", async || {
        sent_times(&site, &after.id, after.epoch).await.len() > served + 20
    })
    .await
    .unwrap();
    let now = groups(&site).await;
    assert_eq!(now.len(), 1);
    assert_eq!(
        (now[0].epoch, &now[0].members),
        (after.epoch, &after.members)
    );
    callers.stop().await;
    site.shut_down().await;
}

#[tokio::test]
async fn a_restarted_member_ends_the_epoch() {
    let (mut site, group) = start(model(1, 2, 0)).await;
    let restarted = group.members[1].clone();
    let index = site.upstream_index(&restarted).unwrap();
    site.restart_upstream(index).await.unwrap();
    let after = repaired_or_formed(&site, &group).await;
    let mut members = [after.members.clone(), group.members.clone()];
    members.iter_mut().for_each(|members| members.sort());
    assert_eq!(members[0], members[1]);
    assert!(after.epoch > group.epoch);
    let events = events(&site).await;
    let cause = cause(&events, &group).unwrap();
    let instance = restarted;
    assert!(
        cause
            == DissolveCause::MemberRestarted {
                instance: instance.clone()
            }
            || cause == DissolveCause::MemberMissing { instance },
        "{cause}"
    );
    site.shut_down().await;
}

async fn repaired_or_formed(site: &Site, before: &GroupStatus) -> GroupStatus {
    let is_later = |group: &GroupStatus| group.epoch > before.epoch && serves(group);
    let found = wait_groups(site, "a group serves again", |found| {
        found.iter().any(is_later)
    })
    .await;
    found.into_iter().find(is_later).unwrap()
}

#[tokio::test]
async fn a_dark_domain_moves_its_group_to_another_domain() {
    // One group and the two instances of another in each of three zones.
    let (site, _) = start(model(3, 2, 6)).await;
    let before = groups(&site).await;
    let dark = before[0].zone.clone();
    let in_zone: Vec<usize> = (0..site.upstreams.len())
        .filter(|at| site.upstreams[*at].record.zone == dark)
        .collect();
    for at in &in_zone {
        site.upstreams[*at].process.signal(Signal::SIGSTOP);
    }
    let moved = |found: &[GroupStatus]| {
        let serving = found
            .iter()
            .filter(|group| serves(group) && group.zone != dark);
        serving.count() == 3
    };
    let found = wait_groups(&site, "three groups serve elsewhere", moved).await;
    for group in &found {
        let domains = group.members.iter().map(|member| {
            let at = site.upstream_index(member).unwrap();
            site.upstreams[at].record.domain.clone()
        });
        let domains: Vec<FabricDomainId> = domains.collect();
        assert!(domains.windows(2).all(|pair| pair[0] == pair[1]));
    }
    for at in &in_zone {
        site.upstreams[*at].process.signal(Signal::SIGCONT);
    }
    site.shut_down().await;
}

#[tokio::test]
async fn a_straggler_is_replaced() {
    let (site, group) = start(model(1, 2, 1)).await;
    let slow = group.members[1].clone();
    let index = site.upstream_index(&slow).unwrap();
    let fault = cuminlb_standins::Fault::Slow {
        delay_ms: Millis(700),
    };
    site.set_upstream_fault(index, fault).await.unwrap();
    let after = repaired(&site, &group).await;
    assert!(!after.members.contains(&slow));
    site.shut_down().await;
}

fn old_order(group: &GroupStatus) -> String {
    let order = json!({
        "fencing": 1,
        "kind": { "join": {
            "membership": { "group": "oar-assist-old", "epoch": group.epoch.get() - 1 },
            "members": [],
        }},
    });
    order.to_string()
}

async fn give_old_order(site: &Site, group: &GroupStatus) -> StatusCode {
    let index = site.upstream_index(&group.members[1]).unwrap();
    let address = site.upstreams[index].record.address;
    let url = format!("http://{address}/control/order");
    let answer = site
        .client()
        .call(Method::POST, &url, &[], old_order(group))
        .await;
    answer.unwrap().status
}

#[tokio::test]
async fn an_engine_that_checks_numbers_refuses_an_old_order() {
    let (site, group) = start(model(1, 2, 0)).await;
    let status = give_old_order(&site, &group).await;
    assert_eq!(status, StatusCode::PRECONDITION_FAILED);
    let answer = site.chat(0, MODEL, false, 2).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK);
    site.shut_down().await;
}

#[tokio::test]
async fn an_engine_that_ignores_numbers_is_brought_back() {
    let mut plan = model(1, 2, 0);
    plan.engine = EngineOptions {
        checks_fencing: false,
        ..plan.engine
    };
    let (site, group) = start(plan).await;
    let index = site.upstream_index(&group.members[1]).unwrap();
    let status = give_old_order(&site, &group).await;
    assert_eq!(status, StatusCode::OK, "the engine executes the order");
    let membership = async || {
        let answer = site
            .call_upstream(index, Method::GET, "/control/report")
            .await;
        answer.unwrap().json()["membership"]["group"].clone()
    };
    wait_until("the owner has mended the member", async || {
        membership().await == json!(group.id)
    })
    .await
    .unwrap();
    let found = wait_groups(&site, "the group serves", |found| found.iter().any(serves)).await;
    assert_eq!(found[0].epoch, group.epoch);
    site.shut_down().await;
}

#[tokio::test]
async fn a_leaving_member_ends_its_streams_before_it_is_released() {
    let engine = EngineOptions {
        cold_start_ms: Millis(100),
        token_gap_ms: Millis(20),
        ..EngineOptions::default()
    };
    let plan = ModelPlan::new(MODEL, 1, 2).spares(1).engine(engine);
    let (mut site, group) = start(plan).await;
    let tokens = 400;
    let leaving = group.members[0].clone();
    let index = site.upstream_index(&leaving).unwrap();
    let client = site.client().clone();
    let url = site.caller_url(0, "/v1/chat/completions");
    let authorization = format!("Bearer {}", site.api_key());
    let stream = tokio::spawn(async move {
        let body = json!({
            "model": MODEL, "stream": true, "max_tokens": tokens, "messages": [],
        });
        let headers = [("authorization", authorization.as_str())];
        let answer = client
            .call(Method::POST, &url, &headers, body.to_string())
            .await;
        (answer.unwrap(), UnixMillis::now())
    });
    wait_until("the stream is in flight", async || {
        !sent_times(&site, &group.id, group.epoch).await.is_empty()
    })
    .await
    .unwrap();
    site.mark_leaving(index).await.unwrap();
    let after = repaired(&site, &group).await;
    assert!(!after.members.contains(&leaving));
    let (answer, ended_at) = stream.await.unwrap();
    assert_eq!(answer.status, StatusCode::OK);
    let text = answer.text();
    assert_eq!(text.matches("chat.completion.chunk").count(), tokens);
    assert!(text.ends_with("data: [DONE]\n\n"));
    let events = events(&site).await;
    let instance = leaving;
    assert_eq!(
        cause(&events, &group),
        Some(DissolveCause::MemberLeaving { instance })
    );
    let freed = events.iter().find(|event| {
        matches!(&event.kind, EventKind::GroupFormed { epoch, .. } if *epoch == after.epoch)
    });
    let freed_at = freed.unwrap().time.wall_ms;
    assert!(freed_at >= ended_at || ended_at.get() - freed_at.get() < 100);
    assert_eq!(sent_times(&site, &group.id, group.epoch).await.len(), 1);
    site.shut_down().await;
}
