//! The actions that a node takes by itself at each tick.

use cuminlb_types::prelude::*;
use tokio::time::Instant;

use crate::message::Message;
use crate::simulation::{BOUNDS, Simulation};

impl Simulation {
    /// Takes the actions that are due for a node at this tick.
    pub fn run_due_actions(&mut self, index: usize) {
        let now = self.now(index);
        let listed: Vec<NodeId> = self.nodes.iter().map(|node| node.id.clone()).collect();
        let phase = self.tick + 7 * index as u64;
        let node = &mut self.nodes[index];
        node.freshness.update_extension(now, &listed, node.config);
        // An expired lease is kept, so that only its validity prevents the node from acting.
        let lease = node.lease.filter(|_| node.holds_lease(now));
        let reaches_table = node.reaches_table;
        let requests_reports =
            phase.is_multiple_of(40) || (phase.is_multiple_of(10) && node.freshness.is_silent(now));
        let effective_clearance = node
            .clearance
            .filter(|(clearance, _)| now >= clearance.effective_at());
        if requests_reports {
            self.send_to_peers(
                index,
                &Message::ReportRequest {
                    from: index,
                    sent_at: now,
                },
            );
        }
        if reaches_table && phase % 40 == 20 {
            self.send(
                index,
                Message::Read {
                    sent_at: now,
                    checks_lease: lease.is_none(),
                },
            );
        }
        if let (Some((_, version)), true) = (effective_clearance, reaches_table) {
            self.nodes[index].clearance = None;
            let fencing = self.nodes[index]
                .observed
                .as_ref()
                .map(|observed| observed.row.fencing.next());
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
        if let (Some(lease), true, 0) = (lease, reaches_table, phase % 30) {
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
        self.advance_apply(index, now, phase.is_multiple_of(10));
    }

    fn advance_apply(&mut self, index: usize, now: Instant, sends_notices: bool) {
        let Some(pending) = self.nodes[index].pending_apply.clone() else {
            return;
        };
        if pending
            .replacement
            .stopped_at(&BOUNDS)
            .is_some_and(|at| now >= at)
        {
            self.replaced_by = self.replaced_by.max(pending.version);
            self.counters.replaced += 1;
            self.nodes[index].pending_apply = None;
        } else if sends_notices {
            let newest = pending.version;
            self.send_to_peers(
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
