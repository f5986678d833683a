//! Proptest strategies that generate events.

use cuminlb_events::{DenialCause, DissolveCause, Event, EventKind, HybridTime, RequestOutcome};
use cuminlb_types::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// The seed of every property test of this package.
const SEED: u64 = 20_261_204;

pub fn config() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    }
}

pub fn id<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().unwrap()
}

pub fn time() -> impl Strategy<Value = HybridTime> {
    (any::<u64>(), any::<u32>()).prop_map(|(wall_ms, counter)| HybridTime {
        wall_ms: UnixMillis(wall_ms),
        counter,
    })
}

fn dissolve_cause() -> impl Strategy<Value = DissolveCause> {
    let instance: InstanceId = id("oar-assist-i3");
    prop_oneof![
        Just(DissolveCause::MemberMissing {
            instance: instance.clone()
        }),
        Just(DissolveCause::MemberRestarted {
            instance: instance.clone()
        }),
        Just(DissolveCause::MemberLeaving { instance }),
        Just(DissolveCause::NotWanted),
    ]
}

fn denial_cause() -> impl Strategy<Value = DenialCause> {
    prop::sample::select(DenialCause::ALL.to_vec())
}

fn outcome() -> impl Strategy<Value = RequestOutcome> {
    prop_oneof![
        Just(RequestOutcome::Answered),
        Just(RequestOutcome::NotRun),
        Just(RequestOutcome::Unknown),
        Just(RequestOutcome::CallerLeft),
    ]
}

/// Generates events of every kind.
pub fn kind() -> impl Strategy<Value = EventKind> {
    let names = (0..4_u8, any::<u64>(), "[ -~]{0,40}");
    (names, dissolve_cause(), denial_cause(), outcome(), 0..19_u8).prop_map(
        |((name, number, text), dissolve_cause, denial_cause, outcome, index)| {
            build(
                name,
                number,
                &text,
                dissolve_cause,
                denial_cause,
                outcome,
                index,
            )
        },
    )
}

fn build(
    name: u8,
    number: u64,
    text: &str,
    dissolve_cause: DissolveCause,
    denial_cause: DenialCause,
    outcome: RequestOutcome,
    index: u8,
) -> EventKind {
    let group: GroupId = id(&format!("group-{name}"));
    let service: ServiceId = id(&format!("service-{name}"));
    let request: RequestId = id(&format!("request-{name}"));
    let instance: InstanceId = id(&format!("instance-{name}"));
    let target: ZoneId = id(&format!("zone-{name}"));
    let lease: LeaseName = id(&format!("lease-{name}"));
    let (version, epoch) = (ConfigVersion(number), Epoch(number));
    let fencing = FencingNumber(number);
    let reason = text.into();
    match index {
        0 => EventKind::NodeStarted {
            incarnation: Incarnation(number),
        },
        1 => EventKind::NodeDraining,
        2 => EventKind::ConfigAccepted { version },
        3 => EventKind::ConfigInForce { version },
        4 => EventKind::StandingChanged {
            acts: number.is_multiple_of(2),
            reason,
        },
        5 => EventKind::ZoneTakenOut { target, version },
        6 => EventKind::ZoneTakenIn { target, version },
        7 => EventKind::LeaseAcquired { lease, fencing },
        8 => EventKind::LeaseLost {
            lease,
            fencing,
            reason,
        },
        9 => EventKind::GroupFormed {
            service,
            group,
            epoch,
            members: vec![instance],
        },
        10 => EventKind::GroupServing {
            service,
            group,
            epoch,
        },
        11 => EventKind::GroupStopped {
            service,
            group,
            epoch,
            reason,
        },
        12 => EventKind::MemberMissing {
            group,
            epoch,
            instance,
        },
        13 => EventKind::GroupDissolved {
            service,
            group,
            epoch,
            cause: dissolve_cause,
        },
        14 => EventKind::SlotsDenied {
            service,
            group,
            cause: denial_cause,
            count: number,
            over_ms: Millis(number),
        },
        15 => EventKind::RequestSent {
            request,
            service,
            attempt: u32::from(name),
            group,
            epoch,
        },
        18 => EventKind::GroupCrashed {
            service,
            group,
            epoch,
            request,
            fingerprint: id("f-1"),
        },
        16 => EventKind::RequestRejected {
            request,
            code: "bad_request".into(),
            reason,
        },
        _ => EventKind::RequestEnded {
            request,
            team: id(&format!("team-{name}")),
            service,
            outcome,
            code: "no_slot".into(),
            reason,
        },
    }
}

pub fn event() -> impl Strategy<Value = Event> {
    (time(), 0..3_u8, kind()).prop_map(|(time, node, kind)| Event {
        time,
        node: id(&format!("node-{node}")),
        zone: id(&format!("zone-{node}")),
        kind,
    })
}
