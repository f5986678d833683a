//! The hybrid clock never goes back and keeps the causal order.

use cuminlb_events::{HybridClock, HybridTime};
use cuminlb_types::prelude::*;
use proptest::prelude::*;

use crate::strategies::{config, time};

/// How far a peer's time may pull a clock forward.
const MAX_LEAD_MS: u64 = 60_000;

#[derive(Clone, Debug)]
enum Step {
    Tick { wall_ms: u64 },
    Observe { wall_ms: u64, heard: HybridTime },
}

fn step() -> impl Strategy<Value = Step> {
    let near = (0..200_000_u64, 0..3_u32).prop_map(|(wall_ms, counter)| HybridTime {
        wall_ms: UnixMillis(wall_ms),
        counter: counter.wrapping_sub(1),
    });
    let heard = prop_oneof![4 => near, 1 => time()];
    prop_oneof![
        (0..200_000_u64).prop_map(|wall_ms| Step::Tick { wall_ms }),
        (0..200_000_u64, heard).prop_map(|(wall_ms, heard)| Step::Observe { wall_ms, heard }),
    ]
}

/// One node of a history: its events and the messages between nodes.
#[derive(Clone, Debug)]
enum Act {
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

fn act() -> impl Strategy<Value = Act> {
    prop_oneof![
        (0..NODES, 0..5_000_u64).prop_map(|(node, wall_ms)| Act::Event { node, wall_ms }),
        (0..NODES, 0..NODES, 0..5_000_u64).prop_map(|(from, to, wall_ms)| Act::Message {
            from,
            to,
            wall_ms
        }),
    ]
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn it_never_goes_back_and_is_ahead_of_all_it_heard(
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
                Step::Observe { wall_ms, heard } => {
                    clock.observe_at(UnixMillis(wall_ms), heard);
                    if heard.wall_ms.get() <= wall_ms + MAX_LEAD_MS {
                        last = last.max(heard);
                    }
                }
            }
        }
        let end = clock.tick_at(UnixMillis(0));
        prop_assert!(end > last);
        prop_assert!(end.wall_ms.get() <= 200_000 + MAX_LEAD_MS + 1, "a wrong clock was followed");
    }

    #[test]
    fn an_effect_is_always_later_than_its_cause(
        skews_ms in prop::array::uniform4(0..30_000_u64),
        acts in prop::collection::vec(act(), 1..80),
    ) {
        let clocks: [HybridClock; NODES] = Default::default();
        // The latest event that each node knows of, its own or one it was told of.
        let mut known = [HybridTime::default(); NODES];
        for act in acts {
            match act {
                Act::Event { node, wall_ms } => {
                    let now = clocks[node].tick_at(UnixMillis(wall_ms + skews_ms[node]));
                    prop_assert!(now > known[node]);
                    known[node] = now;
                }
                Act::Message { from, to, wall_ms } => {
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
