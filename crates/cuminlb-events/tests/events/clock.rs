//! The hybrid logical clock never goes backwards and preserves causal order.

use cuminlb_events::{HybridClock, HybridTime};
use cuminlb_types::prelude::*;
use proptest::prelude::*;

use crate::strategies::{config, time};

/// The maximum time by which a peer's timestamp may be ahead of the wall clock, in milliseconds.
const MAX_CLOCK_SKEW_MS: u64 = 60_000;

#[derive(Clone, Debug)]
enum Step {
    Tick { wall_ms: u64 },
    Observe { wall_ms: u64, received: HybridTime },
}

fn step() -> impl Strategy<Value = Step> {
    let plausible = (0..200_000_u64, 0..3_u32).prop_map(|(wall_ms, counter)| HybridTime {
        wall_ms: UnixMillis(wall_ms),
        counter: counter.wrapping_sub(1),
    });
    let received = prop_oneof![4 => plausible, 1 => time()];
    prop_oneof![
        (0..200_000_u64).prop_map(|wall_ms| Step::Tick { wall_ms }),
        (0..200_000_u64, received)
            .prop_map(|(wall_ms, received)| Step::Observe { wall_ms, received }),
    ]
}

/// One step of a simulated history: an event at a node, or a message between nodes.
#[derive(Clone, Debug)]
enum Operation {
    Event {
        node: usize,
        wall_ms: u64,
    },
    Message {
        from: usize,
        to: usize,
        wall_ms: u64,
    },
}

const NODES: usize = 4;

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        (0..NODES, 0..5_000_u64).prop_map(|(node, wall_ms)| Operation::Event { node, wall_ms }),
        (0..NODES, 0..NODES, 0..5_000_u64).prop_map(|(from, to, wall_ms)| Operation::Message {
            from,
            to,
            wall_ms
        }),
    ]
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn clock_is_monotonic_and_later_than_accepted_timestamps(
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let clock = HybridClock::default();
        let mut last = HybridTime::default();
        for step in steps {
            match step {
                Step::Tick { wall_ms } => {
                    let now = clock.tick_at(UnixMillis(wall_ms));
                    prop_assert!(now > last, "{now:?} after {last:?}");
                    last = now;
                }
                Step::Observe { wall_ms, received } => {
                    clock.observe_at(UnixMillis(wall_ms), received);
                    if received.wall_ms.get() <= wall_ms + MAX_CLOCK_SKEW_MS {
                        last = last.max(received);
                    }
                }
            }
        }
        let final_time = clock.tick_at(UnixMillis(0));
        prop_assert!(final_time > last);
        prop_assert!(
            final_time.wall_ms.get() <= 200_000 + MAX_CLOCK_SKEW_MS + 1,
            "the clock followed a wrong peer clock"
        );
    }

    #[test]
    fn effects_are_later_than_their_causes(
        skews_ms in prop::array::uniform4(0..30_000_u64),
        operations in prop::collection::vec(operation(), 1..80),
    ) {
        let clocks: [HybridClock; NODES] = Default::default();
        // The latest timestamp known to each node, of an event of its own or of a received message.
        let mut known = [HybridTime::default(); NODES];
        for operation in operations {
            match operation {
                Operation::Event { node, wall_ms } => {
                    let now = clocks[node].tick_at(UnixMillis(wall_ms + skews_ms[node]));
                    prop_assert!(now > known[node]);
                    known[node] = now;
                }
                Operation::Message { from, to, wall_ms } => {
                    let sent = clocks[from].tick_at(UnixMillis(wall_ms + skews_ms[from]));
                    prop_assert!(sent > known[from]);
                    known[from] = sent;
                    clocks[to].observe_at(UnixMillis(wall_ms + skews_ms[to]), sent);
                    known[to] = known[to].max(sent);
                }
            }
        }
    }
}
