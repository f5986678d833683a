//! How the table and the nodes handle messages.

use cuminlb_fleet::freshness::{ConfigReplacement, TakeoverClearance};
use cuminlb_fleet::lease::{HeldLease, ObservedLease};
use cuminlb_fleet::rows::LeaseRow;
use cuminlb_types::prelude::*;
use tokio::time::Instant;

use crate::message::{Envelope, Message};
use crate::model_node::{NoticeRound, PendingApply};
use crate::simulation::{BOUNDS, Simulation, TIMING};

impl Simulation {
    /// Handles a message that is due.
    pub fn handle(&mut self, envelope: Envelope) {
        let index = envelope.node;
        let now = self.now(index);
        match envelope.message {
            Message::Read {
                sent_at,
                checks_lease,
            } => {
                let (config, row) = (self.config, self.row.clone());
                self.send(
                    index,
                    Message::ReadResponse {
                        sent_at,
                        config,
                        row,
                        checks_lease,
                    },
                );
            }
            Message::ReadResponse {
                sent_at,
                config,
                row,
                checks_lease,
            } => {
                let node = &mut self.nodes[index];
                node.config = node.config.max(config);
                node.freshness.record_read(sent_at, now, node.config);
                if checks_lease && !node.holds_lease(now) {
                    self.check_lease(index, sent_at, row);
                }
            }
            Message::Write {
                sent_at,
                expected,
                fencing,
            } => {
                let current = self.row.as_ref().map(|(version, _)| *version);
                let version = (current == expected)
                    .then(|| self.write_lease_row(index, envelope.incarnation, fencing));
                if self.nodes[index].incarnation == envelope.incarnation {
                    self.send(
                        index,
                        Message::WriteResponse {
                            sent_at,
                            fencing,
                            version,
                        },
                    );
                }
            }
            Message::WriteResponse {
                sent_at,
                fencing,
                version,
            } => {
                let node = &mut self.nodes[index];
                node.lease =
                    version.map(|version| HeldLease::new(fencing, version, sent_at, &TIMING));
            }
            Message::Commit => {
                self.config = self.config.next();
                let version = self.config;
                self.send(index, Message::CommitResponse { version });
            }
            Message::CommitResponse { version } => {
                let node = &mut self.nodes[index];
                node.config = node.config.max(version);
                node.freshness.record_newest_config(version);
                let replacement = ConfigReplacement::new(now);
                let notified = [index].into();
                node.pending_apply = Some(PendingApply {
                    version,
                    replacement,
                    notified,
                });
            }
            Message::ReportRequest { from, sent_at } => {
                let node = &self.nodes[index];
                let (report, config) = (node.freshness.report(now), node.config);
                self.send(
                    from,
                    Message::Report {
                        from: index,
                        sent_at,
                        report,
                        config,
                    },
                );
            }
            Message::Report {
                from,
                sent_at,
                report,
                config,
            } => {
                let peer = self.nodes[from].id.clone();
                let node = &mut self.nodes[index];
                if node.can_pull_config {
                    node.config = node.config.max(config);
                }
                node.freshness
                    .record_report(peer, sent_at, report, node.config);
            }
            Message::Notice {
                from,
                read_age_ms,
                newest,
            } => {
                self.nodes[index]
                    .freshness
                    .record_notice(now, read_age_ms, newest);
                self.send(from, Message::NoticeAck { from: index });
            }
            Message::NoticeAck { from } => self.handle_ack(index, from, now),
        }
    }

    fn write_lease_row(
        &mut self,
        index: usize,
        incarnation: u32,
        fencing: FencingNumber,
    ) -> RowVersion {
        let holder = self.nodes[index].id.clone();
        if let Some((_, row)) = &self.row {
            let is_new_holder =
                row.holder != holder || row.incarnation.get() != u64::from(incarnation);
            assert!(fencing >= row.fencing && (!is_new_holder || fencing > row.fencing));
            self.counters.takeovers += u32::from(row.holder != holder);
        }
        let row = LeaseRow {
            holder,
            incarnation: Incarnation(u64::from(incarnation)),
            fencing,
            length_ms: TIMING.length_ms,
            idle: false,
            era: StoreEra::default(),
        };
        self.last_version = self.last_version.next();
        self.row = Some((self.last_version, row));
        self.last_version
    }

    fn check_lease(&mut self, index: usize, sent_at: Instant, row: Option<(RowVersion, LeaseRow)>) {
        let now = self.now(index);
        let Some((version, row)) = row else {
            let fencing = FencingNumber(1);
            return self.send(
                index,
                Message::Write {
                    sent_at: now,
                    expected: None,
                    fencing,
                },
            );
        };
        let node = &mut self.nodes[index];
        let observed = ObservedLease::observe(node.observed.take(), version, row, now);
        let expires_at = observed.expires_at();
        node.observed = Some(observed);
        if node.clearance.is_some() || now + BOUNDS.report_validity_ms.duration() < expires_at {
            return;
        }
        let (newest, notified) = (node.config, [index].into());
        node.notice_round = Some(NoticeRound {
            read_sent_at: sent_at,
            version,
            notified,
        });
        let read_age_ms = now.duration_since(sent_at).into();
        self.send_to_peers(
            index,
            &Message::Notice {
                from: index,
                read_age_ms,
                newest,
            },
        );
        self.evaluate_round(index);
    }

    fn handle_ack(&mut self, index: usize, from: usize, now: Instant) {
        let listed = self.nodes.len();
        let node = &mut self.nodes[index];
        if let Some(pending) = &mut node.pending_apply {
            pending.notified.insert(from);
            pending
                .replacement
                .record_notified(pending.notified.len(), listed, now);
        }
        let Some(notice_round) = &mut node.notice_round else {
            return;
        };
        notice_round.notified.insert(from);
        self.evaluate_round(index);
    }

    /// Evaluates the round of notices of a node, and ends the round if it yields a clearance.
    fn evaluate_round(&mut self, index: usize) {
        let (now, listed) = (self.now(index), self.nodes.len());
        let node = &mut self.nodes[index];
        let Some(notice_round) = &node.notice_round else {
            return;
        };
        let (read_sent_at, notified) = (notice_round.read_sent_at, notice_round.notified.len());
        let clearance = TakeoverClearance::evaluate(read_sent_at, now, notified, listed, &BOUNDS);
        if let Some(clearance) = clearance {
            node.clearance = Some((clearance, notice_round.version));
            node.notice_round = None;
        }
    }
}
