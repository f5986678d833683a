//! Tests that `cuminctl timeline` explains refused requests, dissolved groups and crashes.

use cuminlb_events::{DissolveCause, Event, EventKind, RequestOutcome};
use cuminlb_test_support::{ModelPlan, Site, SiteBuilder, wait_until};
use cuminlb_types::prelude::*;
use http::{Method, StatusCode};
use tokio::process::Command;

use crate::support::cuminctl;

/// Returns the events that `cuminctl timeline --json` prints.
async fn timeline(site: &Site, arguments: &[&str]) -> Vec<Event> {
    let output = cuminctl(site, &[&["timeline", "--json"], arguments].concat()).await;
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{errors}");
    let text = String::from_utf8(output.stdout).unwrap();
    text.lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect()
}

fn assert_ordered(events: &[Event]) {
    assert!(events.is_sorted_by_key(|event| (event.time, event.node.clone())));
}

#[tokio::test]
async fn timeline_explains_a_refused_request_and_a_dissolved_group() {
    let mut site = SiteBuilder::default()
        .nodes(3)
        .model(ModelPlan::new("oar-assist", 1, 2))
        .start_serving()
        .await
        .unwrap();
    let answered = site.chat(1, "oar-assist", true, 3).await.unwrap();
    assert_eq!(answered.status, StatusCode::OK);
    let answered_id = answered.headers["x-request-id"].to_str().unwrap();

    // The group loses a member, and the next request finds no group.
    let status = site.status(0).await.unwrap();
    let group = status.services[0].groups[0].clone();
    let lost = group.members.last().unwrap();
    let lost_index = site.upstream_index(lost).unwrap();
    site.upstreams[lost_index].process.kill().await;
    let group_name = group.id.to_string();
    wait_until("the group is dissolved", async || {
        let events = timeline(&site, &["--group", &group_name]).await;
        events
            .iter()
            .any(|event| matches!(event.kind, EventKind::GroupDissolved { .. }))
    })
    .await
    .unwrap();
    let refused = site.chat(2, "oar-assist", true, 3).await.unwrap();
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    let refused_id = refused.headers["x-request-id"].to_str().unwrap();
    let unknown = site.chat(0, "no-such-model", true, 3).await.unwrap();
    let unknown_id = unknown.headers["x-request-id"].to_str().unwrap();

    // Events of the group: formed, serving, member missing, stopped, dissolved with its cause.
    let events = timeline(&site, &["--group", &group_name]).await;
    assert_ordered(&events);
    let position = |wanted: &dyn Fn(&EventKind) -> bool| {
        let found = events.iter().position(|event| wanted(&event.kind));
        found.unwrap_or_else(|| panic!("an event is missing in {events:#?}"))
    };
    assert!(
        position(&|kind| matches!(kind, EventKind::LeaseAcquired { .. })) < events.len(),
        "the owner's lease belongs to the group"
    );
    let formed = position(&|kind| matches!(kind, EventKind::GroupFormed { .. }));
    let serving = position(&|kind| matches!(kind, EventKind::GroupServing { .. }));
    let missing = position(
        &|kind| matches!(kind, EventKind::MemberMissing { instance, .. } if instance == lost),
    );
    let stopped = position(&|kind| matches!(kind, EventKind::GroupStopped { .. }));
    let cause = DissolveCause::MemberMissing {
        instance: lost.clone(),
    };
    let dissolved = position(
        &|kind| matches!(kind, EventKind::GroupDissolved { cause: found, .. } if *found == cause),
    );
    let sent = position(&|kind| kind.request().is_some_and(|id| id.as_str() == answered_id));
    let order = [formed, serving, sent, missing, stopped, dissolved];
    assert!(order.is_sorted(), "{order:?} in {events:#?}");

    // Events of each request: how it ended and why.
    let events = timeline(&site, &["--request", answered_id]).await;
    let kinds: Vec<&str> = events.iter().map(|event| event.kind.name()).collect();
    assert_eq!(kinds, ["request_sent", "request_ended"]);
    let events = timeline(&site, &["--request", refused_id]).await;
    let [event] = &events[..] else {
        panic!("one event expected: {events:#?}");
    };
    assert_eq!(event.node.as_str(), "node-2");
    let EventKind::RequestEnded {
        outcome,
        code,
        reason,
        service,
        team,
        ..
    } = &event.kind
    else {
        panic!("not a `RequestEnded` event: {event:#?}");
    };
    assert_eq!(*outcome, RequestOutcome::NotRun);
    assert_eq!(code.as_str(), refused.json()["error"]["code"]);
    assert!(["no_group", "no_slot"].contains(&code.as_str()), "{code}");
    assert!(reason.contains("oar-assist"), "{reason}");
    assert_eq!(service.as_str(), "oar-assist");
    assert_eq!(team.as_str(), "suva-rowing");
    let events = timeline(&site, &["--request", unknown_id]).await;
    assert!(
        matches!(&events[..], [Event { kind: EventKind::RequestRejected { code, .. }, .. }]
            if code == "unknown_service"),
        "{events:#?}"
    );

    // Each node recorded when it began to accept requests, and its active configuration.
    let events = timeline(&site, &["--limit", "8000"]).await;
    for node in ["node-0", "node-1", "node-2"] {
        let kinds = events.iter().filter(|event| event.node.as_str() == node);
        let kinds: Vec<&EventKind> = kinds.map(|event| &event.kind).collect();
        let is_acting =
            |kind: &&EventKind| matches!(kind, EventKind::StandingChanged { acts: true, .. });
        assert!(kinds.iter().any(is_acting), "{node}: {kinds:#?}");
        let in_force = |kind: &&EventKind| matches!(kind, EventKind::ConfigInForce { .. });
        assert!(kinds.iter().any(in_force), "{node}: {kinds:#?}");
    }

    // Filters by zone, team, service and time.
    let events = timeline(&site, &["--zone", "nasese"]).await;
    assert!(!events.is_empty() && events.iter().all(|event| event.zone.as_str() == "nasese"));
    let events = timeline(&site, &["--team", "suva-rowing", "--service", "oar-assist"]).await;
    assert_eq!(events.len(), 2, "{events:#?}");
    assert!(timeline(&site, &["--until", "1h"]).await.is_empty());
    assert!(!timeline(&site, &["--since", "1h"]).await.is_empty());
    site.shut_down().await;
}

#[tokio::test]
async fn timeline_follows_zone_events_and_names_unresponsive_nodes() {
    let mut site = SiteBuilder::default()
        .nodes(2)
        .model(ModelPlan::new("oar-assist", 1, 1))
        .start_serving()
        .await
        .unwrap();
    let log = tempfile::NamedTempFile::new().unwrap();
    let mut follower = Command::new(site.programs().binary("cuminctl"))
        .args(["timeline", "--follow", "--json", "--limit", "0"])
        .env("CUMINCTL_NODES", site.operator_addresses())
        .env("CUMINCTL_TOKEN", site.operator_token())
        .stdout(log.reopen().unwrap())
        .kill_on_drop(true)
        .spawn()
        .unwrap();
    let followed = || -> Vec<Event> {
        let text = std::fs::read_to_string(log.path()).unwrap();
        let complete_lines = text.rsplit_once('\n').map_or("", |(lines, _)| lines);
        complete_lines
            .lines()
            .map(|line| serde_json::from_str(line).unwrap())
            .collect()
    };
    let out = cuminctl(&site, &["zone", "out", "nasese"]).await;
    assert!(out.status.success(), "{out:?}");
    wait_until("both nodes report the zone as out", async || {
        let taken_out = followed().into_iter().filter(|event| {
            matches!(&event.kind, EventKind::ZoneTakenOut { target, .. }
                if target.as_str() == "nasese")
        });
        taken_out.count() == 2
    })
    .await
    .unwrap();
    let events = followed();
    let mut unique: Vec<String> = events.iter().map(|event| format!("{event:?}")).collect();
    unique.sort();
    unique.dedup();
    assert_eq!(unique.len(), events.len(), "an event was printed twice");
    follower.kill().await.unwrap();
    let back = cuminctl(&site, &["zone", "in", "nasese"]).await;
    assert!(back.status.success(), "{back:?}");
    let events = timeline(&site, &["--zone", "nasese"]).await;
    assert!(
        events
            .iter()
            .any(|event| matches!(event.kind, EventKind::ZoneTakenIn { .. }))
    );

    // A listed node that doesn't respond is named, so that its missing events are not mistaken for
    // the absence of events.
    site.nodes[1].process.kill().await;
    let output = cuminctl(&site, &["timeline"]).await;
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(errors.contains("node-1 gave no answer"), "{errors}");
    assert!(output.status.success());
    site.shut_down().await;
}

#[tokio::test]
async fn timeline_names_the_request_that_crashed_a_group() {
    let site = SiteBuilder::default()
        .nodes(1)
        .model(ModelPlan::new("oar-assist", 3, 1))
        .start_serving()
        .await
        .unwrap();
    for engine in &site.upstreams {
        let url = format!("http://{}/control/crash-on", engine.record.address);
        let set = site.client().call(Method::PUT, &url, &[], "dawn").await;
        set.unwrap();
    }
    // The prompt that `site.chat` sends contains the word.
    let refused = site.chat(0, "oar-assist", false, 2).await.unwrap();
    let error = refused.json()["error"].clone();
    let request = refused.headers["x-request-id"].to_str().unwrap();
    let events = timeline(&site, &["--request", request]).await;
    let crashes: Vec<(&GroupId, &RequestFingerprint)> = events
        .iter()
        .filter_map(|event| match &event.kind {
            EventKind::GroupCrashed {
                group, fingerprint, ..
            } => Some((group, fingerprint)),
            _ => None,
        })
        .collect();
    assert!(!crashes.is_empty(), "{error} {events:#?}");
    let (group, fingerprint) = crashes[0];
    let of_group = timeline(&site, &["--group", group.as_str()]).await;
    let names_request = |event: &Event| {
        matches!(&event.kind, EventKind::GroupCrashed { request: found, .. }
            if found.as_str() == request)
    };
    assert!(of_group.iter().any(names_request), "{of_group:#?}");

    // The refusal of the same request later names the same fingerprint.
    let mut refusal = error;
    for _ in 0..4 {
        if refusal["code"] == "quarantined" {
            break;
        }
        let response = site.chat(0, "oar-assist", false, 2).await.unwrap();
        refusal = response.json()["error"].clone();
    }
    let message = refusal["message"].as_str().unwrap();
    assert!(message.contains(fingerprint.as_str()), "{refusal}");
    site.shut_down().await;
}
