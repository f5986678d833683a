//! Events, event queries and node reports round-trip through the encoding between peers.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails by panicking"
)]

use std::fmt::Debug;
use std::pin::Pin;

use cuminlb_events::{
    DenialCause, DissolveCause, Event, EventFilter, EventKind, GroupReport, HybridTime, NodeReport,
    RequestOutcome, ServiceReport, TeamReport,
};
use cuminlb_peer::EventsQuery;
use cuminlb_types::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_serde::{Deserializer, Serializer};

fn id<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: Debug,
{
    text.parse().unwrap()
}

fn assert_round_trips<T: Serialize + DeserializeOwned + PartialEq + Debug + Unpin>(value: &T) {
    let mut codec = Bincode::<T, T>::default();
    let bytes = Pin::new(&mut codec).serialize(value).unwrap();
    let bytes = bytes.as_ref().into();
    let decoded = Pin::new(&mut codec).deserialize(&bytes);
    assert_eq!(&decoded.unwrap(), value);
}

fn event(kind: EventKind) -> Event {
    let time = HybridTime {
        wall_ms: UnixMillis(1_764_800_000_000),
        counter: 7,
    };
    Event {
        time,
        node: id("node-1"),
        zone: id("lami"),
        kind,
    }
}

#[test]
fn every_dissolve_cause_round_trips() {
    let instance: InstanceId = id("oar-assist-i4");
    for cause in [
        DissolveCause::MemberMissing {
            instance: instance.clone(),
        },
        DissolveCause::MemberRestarted {
            instance: instance.clone(),
        },
        DissolveCause::MemberLeaving { instance },
        DissolveCause::NotWanted,
    ] {
        assert_round_trips(&event(EventKind::GroupDissolved {
            service: id("oar-assist"),
            group: id("g1"),
            epoch: Epoch(4),
            cause,
        }));
    }
}

#[test]
fn events_with_texts_and_enums_round_trip() {
    assert_round_trips(&event(EventKind::SlotsDenied {
        service: id("oar-assist"),
        group: id("g1"),
        cause: DenialCause::NotServing,
        count: 12,
        over_ms: Millis(1_000),
    }));
    assert_round_trips(&event(EventKind::ZoneTakenOut {
        target: id("nasese"),
        version: ConfigVersion(3),
    }));
    assert_round_trips(&event(EventKind::RequestEnded {
        request: id("node-1-5-1"),
        team: id("suva-rowing"),
        service: id("oar-assist"),
        outcome: RequestOutcome::CallerLeft,
        code: "caller_left".into(),
        reason: "the connection was closed".into(),
    }));
}

#[test]
fn queries_and_reports_round_trip() {
    let filter = EventFilter {
        group: Some(id("g1")),
        since_ms: Some(UnixMillis(5)),
        ..EventFilter::default()
    };
    assert_round_trips(&EventsQuery { filter, limit: 9 });
    assert_round_trips(&NodeReport {
        node: id("node-1"),
        zone: id("lami"),
        ready: true,
        draining: false,
        config: ConfigVersion(3),
        table_age_ms: None,
        groups: vec![GroupReport {
            group: id("g1"),
            epoch: Epoch(4),
            serving: true,
            warm: false,
            taken: SlotCount(1),
            limit: SlotCount(2),
        }],
        services: vec![ServiceReport {
            service: id("oar-assist"),
            running: 1,
            waiting: 2,
        }],
        teams: vec![TeamReport {
            team: id("suva-rowing"),
            in_flight: 3,
            answered: 4,
            not_run: 5,
            unknown: 6,
        }],
    });
}
