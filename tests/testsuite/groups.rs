//! Tests of groups whose members are killed, paused, restarted or slow, and of spares.

use cuminlb_caller::GroupStatus;
use cuminlb_events::DissolveCause;
use cuminlb_standins::EngineOptions;
use cuminlb_test_support::{ModelPlan, Site, wait_until};
use cuminlb_types::prelude::*;
use http::{Method, StatusCode};
use nix::sys::signal::Signal;
use serde_json::json;

use crate::fleet_support::{
    Callers, MODEL, PROOF_MAX_AGE_MS, dissolve_cause, events, groups, is_serving, model_plan,
    sent_times, start_site, wait_groups, wait_repaired,
};

/// Checks that no request was sent to the group's epoch later than `bound_ms` after the loss of a
/// member.
async fn assert_sending_stopped(
    site: &Site,
    group: &GroupStatus,
    lost_at: UnixMillis,
    bound_ms: Millis,
) {
    let sent = sent_times(site, &group.id, group.epoch).await;
    let last = sent.iter().max().unwrap();
    assert!(!sent.is_empty());
    assert!(
        last.get() <= lost_at.get() + bound_ms.get(),
        "sent {} ms after the loss",
        last.get() - lost_at.get()
    );
}

#[tokio::test]
async fn a_killed_member_stops_the_group_and_a_spare_repairs_it() {
    let (mut site, group) = start_site(model_plan(1, 2, 1)).await;
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
    let after = wait_repaired(&site, &group).await;
    let statuses = callers.stop().await;
    assert!(!after.members.contains(&lost));
    assert!(after.members.contains(&group.members[0]));
    // The next probe is refused; one more request that already has its slot may be sent.
    assert_sending_stopped(&site, &group, lost_at, Millis(600)).await;
    assert!(statuses.contains(&200));
    let events = events(&site).await;
    let missing = DissolveCause::MemberMissing { instance: lost };
    assert_eq!(dissolve_cause(&events, &group), Some(missing));
    site.shut_down().await;
}

#[tokio::test]
async fn a_paused_member_stops_the_group_and_does_not_rejoin_when_it_resumes() {
    let (site, group) = start_site(model_plan(1, 2, 1)).await;
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
    let after = wait_repaired(&site, &group).await;
    assert!(!after.members.contains(&paused));
    assert_sending_stopped(&site, &group, lost_at, PROOF_MAX_AGE_MS + Millis(100)).await;
    site.upstreams[index].process.signal(Signal::SIGCONT);
    wait_until("the resumed engine responds", async || {
        let response = site
            .call_upstream(index, Method::GET, "/control/report")
            .await;
        response.is_ok_and(|response| response.status == StatusCode::OK)
    })
    .await
    .unwrap();
    let served = sent_times(&site, &after.id, after.epoch).await.len();
    wait_until("the repaired group keeps serving", async || {
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
    let (mut site, group) = start_site(model_plan(1, 2, 0)).await;
    let restarted = group.members[1].clone();
    let index = site.upstream_index(&restarted).unwrap();
    site.restart_upstream(index).await.unwrap();
    let after = wait_later_epoch(&site, &group).await;
    let mut members = [after.members.clone(), group.members.clone()];
    members.iter_mut().for_each(|members| members.sort());
    assert_eq!(members[0], members[1]);
    assert!(after.epoch > group.epoch);
    let events = events(&site).await;
    let cause = dissolve_cause(&events, &group).unwrap();
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

async fn wait_later_epoch(site: &Site, before: &GroupStatus) -> GroupStatus {
    let is_later = |group: &GroupStatus| group.epoch > before.epoch && is_serving(group);
    let found = wait_groups(site, "a group serves at a later epoch", |found| {
        found.iter().any(is_later)
    })
    .await;
    found.into_iter().find(is_later).unwrap()
}

#[tokio::test]
async fn groups_of_an_unresponsive_zone_are_replaced_in_other_zones() {
    // Each of three zones has one group and two spare instances, enough for another group.
    let (site, _) = start_site(model_plan(3, 2, 6)).await;
    let before = groups(&site).await;
    let paused_zone = before[0].zone.clone();
    let in_zone: Vec<usize> = (0..site.upstreams.len())
        .filter(|index| site.upstreams[*index].record.zone == paused_zone)
        .collect();
    for index in &in_zone {
        site.upstreams[*index].process.signal(Signal::SIGSTOP);
    }
    let serving_elsewhere = |found: &[GroupStatus]| {
        let serving = found
            .iter()
            .filter(|group| is_serving(group) && group.zone != paused_zone);
        serving.count() == 3
    };
    let found = wait_groups(&site, "three groups serve elsewhere", serving_elsewhere).await;
    for group in &found {
        let domains = group.members.iter().map(|member| {
            let index = site.upstream_index(member).unwrap();
            site.upstreams[index].record.domain.clone()
        });
        let domains: Vec<FabricDomainId> = domains.collect();
        assert!(domains.windows(2).all(|pair| pair[0] == pair[1]));
    }
    for index in &in_zone {
        site.upstreams[*index].process.signal(Signal::SIGCONT);
    }
    site.shut_down().await;
}

#[tokio::test]
async fn a_straggler_is_replaced() {
    let (site, group) = start_site(model_plan(1, 2, 1)).await;
    let slow = group.members[1].clone();
    let index = site.upstream_index(&slow).unwrap();
    let fault = cuminlb_standins::Fault::Slow {
        delay_ms: Millis(700),
    };
    site.set_upstream_fault(index, fault).await.unwrap();
    let after = wait_repaired(&site, &group).await;
    assert!(!after.members.contains(&slow));
    site.shut_down().await;
}

#[tokio::test]
async fn a_spare_loads_the_weights_before_it_is_needed() {
    let engine = EngineOptions {
        cold_start_ms: Millis(5_000),
        ..EngineOptions::default()
    };
    let plan = ModelPlan::new(MODEL, 1, 2).spares(1).engine(engine);
    let (mut site, group) = start_site(plan).await;
    let is_member = |index: &usize| group.members.contains(&site.upstreams[*index].record.id);
    let spare = (0..site.upstreams.len())
        .find(|index| !is_member(index))
        .unwrap();
    wait_until("the spare has loaded the weights", async || {
        let response = site
            .call_upstream(spare, Method::GET, "/control/report")
            .await;
        response.is_ok_and(|response| response.json()["warm"] == json!(true))
    })
    .await
    .unwrap();
    let lost = site.upstream_index(&group.members[1]).unwrap();
    site.upstreams[lost].process.kill().await;
    let after = wait_repaired(&site, &group).await;
    assert!(
        after.owned.is_some_and(|owned| owned.warm),
        "the repaired group had to load the weights"
    );
    site.shut_down().await;
}
