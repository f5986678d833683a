//! [`Op`].

use proptest::collection::vec;
use proptest::prelude::*;

/// The number of nodes that ask.
pub const NODES: usize = 3;

/// The longest time that a request runs.
pub const MAX_REQUEST_MS: u64 = 20_000;

/// The longest time from a grant until the engine runs the request.
pub const MAX_SEND_MS: u64 = 1_100;

/// One step of a history.
#[derive(Clone, Debug)]
pub enum Op {
    /// A node asks; it sends the request `send_ms` after the grant, and the engine runs it for
    /// `run_ms`.
    Ask {
        node: usize,
        send_ms: u64,
        run_ms: u64,
    },
    /// A node asks, and asks again with the same ticket while it is denied.
    AskAndWait {
        node: usize,
        send_ms: u64,
        run_ms: u64,
    },
    /// A node tries its denied asks again.
    AskAgain { node: usize },
    /// A node asks and no longer waits for the answer; its release is lost or not.
    AskInVain { node: usize, release_lost: bool },
    /// The network delivers the latest ask of a node once more.
    RepeatAsk { node: usize },
    /// A node closes the connection of one of its requests.
    Abandon { node: usize, engine_goes_on_ms: u64 },
    /// Time passes.
    Advance { by_ms: u64 },
    /// A node renews what it holds.
    Renew { node: usize },
    /// The engine reports a load that is `lag_ms` old.
    Report { lag_ms: u64 },
    /// The releases of a node are lost from now on, or not any more.
    LoseReleases { node: usize, lost: bool },
    /// A node dies; its requests go on at the engine, and it starts again.
    Die { node: usize },
    /// Another node owns the group from now on.
    ChangeOwner,
    /// The owner gives the group up, and tells the next one where nothing is under way.
    HandOver,
    /// The group was dissolved while its requests still ran, and the same instances are a new
    /// group: its lease starts with the first fencing number.
    FormAnew,
    /// The members of the group change.
    ChangeEpoch,
    /// The engine falls into a cold start or leaves it.
    SetWarm { warm: bool },
}

pub fn ops() -> impl Strategy<Value = Vec<Op>> {
    vec(op(), 1..120)
}

fn op() -> impl Strategy<Value = Op> {
    let node = 0..NODES;
    let run_ms = || prop_oneof![3 => 10..400_u64, 2 => 400..MAX_REQUEST_MS];
    let by_ms = prop_oneof![6 => 1..300_u64, 2 => 300..3_000_u64, 1 => 3_000..25_000_u64];
    prop_oneof![
        12 => (node.clone(), 0..MAX_SEND_MS, run_ms())
            .prop_map(|(node, send_ms, run_ms)| Op::Ask { node, send_ms, run_ms }),
        5 => (node.clone(), 0..MAX_SEND_MS, run_ms())
            .prop_map(|(node, send_ms, run_ms)| Op::AskAndWait { node, send_ms, run_ms }),
        4 => node.clone().prop_map(|node| Op::AskAgain { node }),
        2 => (node.clone(), any::<bool>())
            .prop_map(|(node, release_lost)| Op::AskInVain { node, release_lost }),
        2 => node.clone().prop_map(|node| Op::RepeatAsk { node }),
        2 => (node.clone(), 0..1_000_u64)
            .prop_map(|(node, engine_goes_on_ms)| Op::Abandon { node, engine_goes_on_ms }),
        8 => by_ms.prop_map(|by_ms| Op::Advance { by_ms }),
        3 => node.clone().prop_map(|node| Op::Renew { node }),
        6 => (0..500_u64).prop_map(|lag_ms| Op::Report { lag_ms }),
        2 => (node.clone(), any::<bool>())
            .prop_map(|(node, lost)| Op::LoseReleases { node, lost }),
        1 => node.prop_map(|node| Op::Die { node }),
        1 => Just(Op::ChangeOwner),
        1 => Just(Op::FormAnew),
        1 => Just(Op::HandOver),
        1 => Just(Op::ChangeEpoch),
        2 => any::<bool>().prop_map(|warm| Op::SetWarm { warm }),
    ]
}
