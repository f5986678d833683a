//! What a node does of itself at each tick.

use cuminlb_types::prelude::*;
use tokio::time::Instant;

use crate::message::Message;
use crate::world::{BOUNDS, World};

impl World {
    /// Lets a node do what is due on this tick.
    pub fn act(&mut self, index: usize) {
        let now = self.now(index);
        let listed: Vec<NodeId> = self.nodes.iter().map(|node| node.id.clone()).collect();
        let turn = self.tick + 7 * index as u64;
        let node = &mut self.nodes[index];
        node.standing.extend_cover(now, &listed, node.config);
        // A lease that has lapsed is kept, so that nothing but its validity bars the node.
        let lease = node.lease.filter(|_| node.holds_lease(now));
        let reaches_table = node.reaches_table;
        let asks =
            turn.is_multiple_of(40) || (turn.is_multiple_of(10) && node.standing.is_silent(now));
        let cleared = node
            .clearance
            .filter(|(clearance, _)| now >= clearance.effective_at());
        if asks {
            self.call_peers(
                index,
                &Message::Ask {
                    from: index,
                    sent_at: now,
                },
            );
        }
        if reaches_table && turn % 40 == 20 {
            self.send(
                index,
                Message::Read {
                    sent_at: now,
                    look: lease.is_none(),
                },
            );
        }
        if let (Some((_, version)), true) = (cleared, reaches_table) {
            self.nodes[index].clearance = None;
            let fencing = self.nodes[index]
                .seen
                .as_ref()
                .map(|seen| seen.row.fencing.next());
            let fencing = fencing.unwrap_or_default();
            self.send(
                index,
                Message::Write {
                    sent_at: now,
                    expected: Some(version),
                    fencing,
                },
            );
        }
        if let (Some(lease), true, 0) = (lease, reaches_table, turn % 30) {
            let (expected, fencing) = (Some(lease.version), lease.fencing);
            self.send(
                index,
                Message::Write {
                    sent_at: now,
                    expected,
                    fencing,
                },
            );
        }
        self.confirm_apply(index, now, turn.is_multiple_of(10));
    }

    fn confirm_apply(&mut self, index: usize, now: Instant, tells: bool) {
        let Some(apply) = self.nodes[index].apply.clone() else {
            return;
        };
        if apply
            .replacement
            .stopped_at(&BOUNDS)
            .is_some_and(|at| now >= at)
        {
            self.replaced = self.replaced.max(apply.version);
            self.seen.replaced += 1;
            self.nodes[index].apply = None;
        } else if tells {
            let newest = apply.version;
            self.call_peers(
                index,
                &Message::Notice {
                    from: index,
                    read_age_ms: Millis(0),
                    newest,
                },
            );
        }
    }
}
