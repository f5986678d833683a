//! [`NodeStanding`].

use cuminlb_types::prelude::*;
use tokio::time::Instant;

use super::{OutageCover, StandingBounds, StatementBook, TableHearing, TableStatement};
use crate::lease::HeldLease;

/// All that a node knows about its standing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeStanding {
    node: NodeId,
    bounds: StandingBounds,
    hearing: TableHearing,
    newest_config: ConfigVersion,
    statements: StatementBook,
    cover: OutageCover,
}

impl NodeStanding {
    /// Starts without any knowledge.
    pub fn new(node: NodeId, bounds: StandingBounds) -> Self {
        Self {
            node,
            bounds,
            hearing: TableHearing::default(),
            newest_config: ConfigVersion(0),
            statements: StatementBook::default(),
            cover: OutageCover::default(),
        }
    }

    /// Returns the bounds.
    pub const fn bounds(&self) -> &StandingBounds {
        &self.bounds
    }

    /// Notes a read of the configuration, which is in force on this node as `config`.
    pub fn note_read(&mut self, sent_at: Instant, now: Instant, config: ConfigVersion) {
        self.note_newest(config);
        self.hearing.note_read(sent_at, now);
    }

    /// Notes an answer of the table about anything else.
    pub fn note_heard(&mut self, now: Instant) {
        self.hearing.note_heard(now);
    }

    /// Notes the statement of a peer that was asked at `sent_at`.
    pub fn note_answer(
        &mut self,
        peer: NodeId,
        sent_at: Instant,
        said: TableStatement,
        config: ConfigVersion,
    ) {
        self.note_newest(said.newest_config);
        self.hearing.note_answer(sent_at, &said, config);
        self.statements.note(peer, sent_at, said);
    }

    /// Notes the notice of a peer that it read the table, and which configuration it knows.
    pub fn note_notice(&mut self, now: Instant, read_age_ms: Millis, newest: ConfigVersion) {
        self.note_newest(newest);
        self.hearing.note_notice(now, read_age_ms);
    }

    /// Notes that a configuration is known to be committed.
    pub fn note_newest(&mut self, config: ConfigVersion) {
        self.newest_config = self.newest_config.max(config);
    }

    /// Returns what this node states at `now`.
    pub fn statement(&self, now: Instant) -> TableStatement {
        TableStatement {
            table_age_ms: self.hearing.age_ms(now),
            is_silent: self.hearing.is_silent(now, &self.bounds),
            newest_config: self.newest_config,
        }
    }

    /// Extends the cover by the statements at hand, for the configuration `config` in force here.
    pub fn extend_cover(&mut self, now: Instant, listed: &[NodeId], config: ConfigVersion) {
        self.statements.keep_listed(listed);
        let own = (&self.node, self.statement(now));
        let until = self
            .statements
            .covered_until(own, listed, config, now, &self.bounds);
        if let Some(until) = until {
            self.cover.extend(now, until);
        }
    }

    /// Returns the age of the confirmed knowledge, or `None` before the first.
    pub fn age_ms(&self, now: Instant) -> Option<Millis> {
        self.hearing.age_ms(now)
    }

    /// Tells whether this node hears the table no longer.
    pub fn is_silent(&self, now: Instant) -> bool {
        self.hearing.is_silent(now, &self.bounds)
    }

    /// Tells whether this node may act on the configuration in force here.
    pub fn is_confirmed(&self, now: Instant) -> bool {
        self.hearing.is_fresh(now, &self.bounds) || self.cover.is_covered(now)
    }

    /// Tells whether the holder of a lease may act: the lease runs, or it ran out in an outage and
    /// has been covered since without a gap.
    pub fn is_lease_valid(&self, lease: &HeldLease, now: Instant) -> bool {
        lease.is_valid(now) || self.cover.is_covered_since(lease.valid_until, now)
    }

    /// Returns the cover.
    pub const fn cover(&self) -> OutageCover {
        self.cover
    }
}
