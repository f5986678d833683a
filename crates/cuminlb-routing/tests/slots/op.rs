//! The operations and faults of a simulated history, and their generator.

use proptest::collection::vec;
use proptest::prelude::*;

/// The number of nodes that request slots.
pub const NODES: usize = 3;

/// The maximum time for which a request runs.
pub const MAX_REQUEST_MS: u64 = 20_000;

/// The maximum time from a grant until the engine runs the request.
pub const MAX_SEND_MS: u64 = 1_100;

/// One step of a history.
#[derive(Clone, Debug)]
pub enum Op {
    /// A node requests a slot. It sends the request `send_ms` after the grant, and the engine runs
    /// it for `run_ms`.
    RequestSlot {
        node: usize,
        send_ms: u64,
        run_ms: u64,
    },
    /// A node requests a slot, and retries with the same ticket while it is denied.
    RequestSlotWithRetry {
        node: usize,
        send_ms: u64,
        run_ms: u64,
    },
    /// A node retries its denied slot requests.
    RetryDenied { node: usize },
    /// A node requests a slot but stops waiting for the response; its release may be dropped.
    RequestAndCancel {
        node: usize,
        is_release_dropped: bool,
    },
    /// The network delivers the latest slot request of a node a second time.
    RepeatRequest { node: usize },
    /// A node closes the connection of a running request, and the engine continues to run it for up
    /// to `engine_runs_on_ms`.
    Abandon { node: usize, engine_runs_on_ms: u64 },
    /// Time passes.
    Advance { by_ms: u64 },
    /// A node renews its slots.
    Renew { node: usize },
    /// The engine reports its load as of `lag_ms` ago.
    Report { lag_ms: u64 },
    /// From now on, the releases of a node are dropped, or delivered again.
    SetReleasesDropped { node: usize, dropped: bool },
    /// A node crashes and restarts; its running requests continue at the engine.
    Restart { node: usize },
    /// Another node becomes the owner of the group.
    ChangeOwner,
    /// The owner releases the group, and notifies the next owner if its ledger is idle.
    HandOver,
    /// The group is dissolved while its requests still run, and the same instances form a new
    /// group, whose lease starts at the first fencing number.
    ReformGroup,
    /// The members of the group change, which starts a new epoch.
    ChangeEpoch,
    /// The engine enters or leaves a cold start, which changes the limit.
    SetWarm { is_warm: bool },
}

/// Generates a history of 1 to 119 operations.
pub fn ops() -> impl Strategy<Value = Vec<Op>> {
    vec(op(), 1..120)
}

fn op() -> impl Strategy<Value = Op> {
    let node = 0..NODES;
    let run_ms = || prop_oneof![3 => 10..400_u64, 2 => 400..MAX_REQUEST_MS];
    let by_ms = prop_oneof![6 => 1..300_u64, 2 => 300..3_000_u64, 1 => 3_000..25_000_u64];
    prop_oneof![
        12 => (node.clone(), 0..MAX_SEND_MS, run_ms())
            .prop_map(|(node, send_ms, run_ms)| Op::RequestSlot { node, send_ms, run_ms }),
        5 => (node.clone(), 0..MAX_SEND_MS, run_ms())
            .prop_map(|(node, send_ms, run_ms)| Op::RequestSlotWithRetry { node, send_ms, run_ms }),
        4 => node.clone().prop_map(|node| Op::RetryDenied { node }),
        2 => (node.clone(), any::<bool>())
            .prop_map(|(node, is_release_dropped)| {
                Op::RequestAndCancel { node, is_release_dropped }
            }),
        2 => node.clone().prop_map(|node| Op::RepeatRequest { node }),
        2 => (node.clone(), 0..1_000_u64)
            .prop_map(|(node, engine_runs_on_ms)| Op::Abandon { node, engine_runs_on_ms }),
        8 => by_ms.prop_map(|by_ms| Op::Advance { by_ms }),
        3 => node.clone().prop_map(|node| Op::Renew { node }),
        6 => (0..500_u64).prop_map(|lag_ms| Op::Report { lag_ms }),
        2 => (node.clone(), any::<bool>())
            .prop_map(|(node, dropped)| Op::SetReleasesDropped { node, dropped }),
        1 => node.prop_map(|node| Op::Restart { node }),
        1 => Just(Op::ChangeOwner),
        1 => Just(Op::ReformGroup),
        1 => Just(Op::HandOver),
        1 => Just(Op::ChangeEpoch),
        2 => any::<bool>().prop_map(|is_warm| Op::SetWarm { is_warm }),
    ]
}
