//! The event log is bounded, and a reader that resumes misses no event that is kept.

use cuminlb_events::{Event, EventFilter, EventKind, EventLog};
use cuminlb_types::prelude::*;
use proptest::prelude::*;

use crate::strategies::{config, event, id, kind};

fn new_log(capacity: usize) -> EventLog {
    EventLog::new(id("node-1"), id("lami"), capacity)
}

fn match_all() -> EventFilter {
    EventFilter::default()
}

#[test]
fn many_requests_do_not_evict_group_events() {
    let log = new_log(64);
    let group: GroupId = id("g1");
    log.record(EventKind::MemberMissing {
        group: group.clone(),
        epoch: Epoch(3),
        instance: id("i1"),
    });
    for number in 0..1_000 {
        log.record(EventKind::RequestRejected {
            request: id(&format!("r-{number}")),
            code: "bad_request".into(),
            reason: "no body".into(),
        });
    }
    let filter = EventFilter {
        group: Some(group),
        ..EventFilter::default()
    };
    assert_eq!(log.select(&filter, 10).len(), 1);
    assert_eq!(log.select(&match_all(), 10_000).len(), 33);
}

#[test]
fn owner_lease_events_are_about_the_group() {
    let lease = EventKind::LeaseLost {
        lease: id("group/g1"),
        fencing: FencingNumber(3),
        reason: "not renewed in time".into(),
    };
    assert!(lease.is_about_group(&id("g1")));
    assert!(!lease.is_about_group(&id("g")) && !lease.is_about_group(&id("g12")));
    assert!(!lease.is_about_service(&id("g1")));
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn log_is_bounded_and_ordered(
        kinds in prop::collection::vec(kind(), 0..100),
        capacity in 0..20_usize,
        limit in 0..30_usize,
    ) {
        let log = new_log(capacity);
        for kind in kinds {
            log.record(kind);
        }
        let kept = log.select(&match_all(), usize::MAX);
        prop_assert!(kept.len() <= capacity);
        prop_assert!(kept.is_sorted_by(|a, b| a.time < b.time));
        let newest = log.select(&match_all(), limit);
        prop_assert_eq!(&newest[..], &kept[kept.len().saturating_sub(limit)..]);
    }

    #[test]
    fn caller_texts_are_truncated_and_free_of_control_characters(
        reason in any::<String>(),
        repetitions in 1..2_000_usize,
    ) {
        let log = new_log(8);
        log.record(EventKind::RequestRejected {
            request: id("r-1"),
            code: "unknown_service".into(),
            reason: reason.repeat(repetitions).into(),
        });
        let line = log.select(&match_all(), 1)[0].to_string();
        prop_assert!(line.len() < 512, "{} bytes", line.len());
        prop_assert!(!line.contains(char::is_control), "{line:?}");
    }

    #[test]
    fn reader_that_resumes_from_its_last_event_misses_none(
        batches in prop::collection::vec(prop::collection::vec(kind(), 0..12), 1..8),
        limit in 1..6_usize,
    ) {
        let log = new_log(10_000);
        let mut read: Vec<Event> = Vec::new();
        let mut filter = EventFilter { after: Some(Default::default()), ..EventFilter::default() };
        for batch in batches {
            batch.into_iter().for_each(|kind| log.record(kind));
            let events = log.select(&filter, limit);
            filter.after = events.last().map(|event| event.time).or(filter.after);
            read.extend(events);
        }
        loop {
            let events = log.select(&filter, limit);
            let Some(last) = events.last() else { break };
            filter.after = Some(last.time);
            read.extend(events);
        }
        prop_assert_eq!(read, log.select(&match_all(), usize::MAX));
    }

    #[test]
    fn filter_matches_what_it_names(events in prop::collection::vec(event(), 1..40)) {
        for event in &events {
            let kind = &event.kind;
            let filter = EventFilter {
                request: kind.request().cloned(),
                group: kind.group().cloned(),
                team: kind.team().cloned(),
                service: kind.service().cloned(),
                zone: Some(kind.target_zone().unwrap_or(&event.zone).clone()),
                since_ms: Some(event.time.wall_ms),
                until_ms: Some(event.time.wall_ms),
                after: None,
            };
            prop_assert!(filter.matches(event));
            for other in events.iter().filter(|other| filter.matches(other)) {
                prop_assert_eq!(other.time.wall_ms, event.time.wall_ms);
                prop_assert!(filter.request.is_none() || other.kind.request() == kind.request());
                prop_assert!(
                    filter.group.as_ref().is_none_or(|group| other.kind.is_about_group(group))
                );
                prop_assert!(filter.team.is_none() || other.kind.team() == kind.team());
                prop_assert!(
                    filter
                        .service
                        .as_ref()
                        .is_none_or(|service| other.kind.is_about_service(service))
                );
            }
            let later = EventFilter { after: Some(event.time), ..EventFilter::default() };
            prop_assert!(!later.matches(event));
        }
    }
}
