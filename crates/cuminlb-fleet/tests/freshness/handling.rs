//! What the table and the nodes do with messages.

use cuminlb_fleet::lease::{HeldLease, SeenLease};
use cuminlb_fleet::rows::LeaseRow;
use cuminlb_fleet::standing::{Clearance, Replacement};
use cuminlb_types::prelude::*;
use tokio::time::Instant;

use crate::message::{Mail, Message};
use crate::model_node::{Apply, Gathering};
use crate::world::{BOUNDS, TERMS, World};

impl World {
    /// Handles a message that is due.
    pub fn handle(&mut self, mail: Mail) {
        let index = mail.node;
        let now = self.now(index);
        match mail.message {
            Message::Read { sent_at, look } => {
                let (config, row) = (self.config, self.row.clone());
                self.send(
                    index,
                    Message::ReadAnswer {
                        sent_at,
                        config,
                        row,
                        look,
                    },
                );
            }
            Message::ReadAnswer {
                sent_at,
                config,
                row,
                look,
            } => {
                let node = &mut self.nodes[index];
                node.config = node.config.max(config);
                node.standing.note_read(sent_at, now, node.config);
                if look && !node.holds_lease(now) {
                    self.look(index, sent_at, row);
                }
            }
            Message::Write {
                sent_at,
                expected,
                fencing,
            } => {
                let found = self.row.as_ref().map(|(version, _)| *version);
                let version =
                    (found == expected).then(|| self.write(index, mail.incarnation, fencing));
                if self.nodes[index].incarnation == mail.incarnation {
                    self.send(
                        index,
                        Message::WriteAnswer {
                            sent_at,
                            fencing,
                            version,
                        },
                    );
                }
            }
            Message::WriteAnswer {
                sent_at,
                fencing,
                version,
            } => {
                let node = &mut self.nodes[index];
                node.lease =
                    version.map(|version| HeldLease::new(fencing, version, sent_at, &TERMS));
            }
            Message::Commit => {
                self.config = self.config.next();
                let version = self.config;
                self.send(index, Message::CommitAnswer { version });
            }
            Message::CommitAnswer { version } => {
                let node = &mut self.nodes[index];
                node.config = node.config.max(version);
                node.standing.note_newest(version);
                let replacement = Replacement::new(now);
                let told = [index].into();
                node.apply = Some(Apply {
                    version,
                    replacement,
                    told,
                });
            }
            Message::Ask { from, sent_at } => {
                let node = &self.nodes[index];
                let (said, config) = (node.standing.statement(now), node.config);
                self.send(
                    from,
                    Message::Answer {
                        from: index,
                        sent_at,
                        said,
                        config,
                    },
                );
            }
            Message::Answer {
                from,
                sent_at,
                said,
                config,
            } => {
                let peer = self.nodes[from].id.clone();
                let node = &mut self.nodes[index];
                if node.pulls_config {
                    node.config = node.config.max(config);
                }
                node.standing.note_answer(peer, sent_at, said, node.config);
            }
            Message::Notice {
                from,
                read_age_ms,
                newest,
            } => {
                self.nodes[index]
                    .standing
                    .note_notice(now, read_age_ms, newest);
                self.send(from, Message::NoticeTaken { from: index });
            }
            Message::NoticeTaken { from } => self.note_told(index, from, now),
        }
    }

    fn write(&mut self, index: usize, incarnation: u32, fencing: FencingNumber) -> RowVersion {
        let holder = self.nodes[index].id.clone();
        if let Some((_, row)) = &self.row {
            let is_other = row.holder != holder || row.incarnation.get() != u64::from(incarnation);
            assert!(fencing >= row.fencing && (!is_other || fencing > row.fencing));
            self.seen.takeovers += u32::from(row.holder != holder);
        }
        let row = LeaseRow {
            holder,
            incarnation: Incarnation(u64::from(incarnation)),
            fencing,
            length_ms: TERMS.length_ms,
            idle: false,
        };
        self.last_row = self.last_row.next();
        self.row = Some((self.last_row, row));
        self.last_row
    }

    fn look(&mut self, index: usize, sent_at: Instant, row: Option<(RowVersion, LeaseRow)>) {
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
        let seen = SeenLease::note(node.seen.take(), version, row, now);
        let lapses_at = seen.lapses_at();
        node.seen = Some(seen);
        if node.clearance.is_some() || now + BOUNDS.statement_ms.duration() < lapses_at {
            return;
        }
        let (newest, told) = (node.config, [index].into());
        node.gathering = Some(Gathering {
            read_sent_at: sent_at,
            version,
            told,
        });
        let read_age_ms = now.duration_since(sent_at).into();
        self.call_peers(
            index,
            &Message::Notice {
                from: index,
                read_age_ms,
                newest,
            },
        );
        self.judge(index);
    }

    fn note_told(&mut self, index: usize, from: usize, now: Instant) {
        let listed = self.nodes.len();
        let node = &mut self.nodes[index];
        if let Some(apply) = &mut node.apply {
            apply.told.insert(from);
            apply.replacement.note_told(apply.told.len(), listed, now);
        }
        let Some(gathering) = &mut node.gathering else {
            return;
        };
        gathering.told.insert(from);
        self.judge(index);
    }

    /// Judges the gathering of a node, and ends it when it gave a clearance.
    fn judge(&mut self, index: usize) {
        let (now, listed) = (self.now(index), self.nodes.len());
        let node = &mut self.nodes[index];
        let Some(gathering) = &node.gathering else {
            return;
        };
        let (read_sent_at, told) = (gathering.read_sent_at, gathering.told.len());
        let clearance = Clearance::judge(read_sent_at, now, told, listed, &BOUNDS);
        if let Some(clearance) = clearance {
            node.clearance = Some((clearance, gathering.version));
            node.gathering = None;
        }
    }
}
