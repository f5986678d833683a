//! [`StatementBook`].

use std::collections::HashMap;

use cuminlb_types::prelude::*;
use tokio::time::Instant;

use super::{Quorum, StandingBounds, TableStatement};

/// The newest statement of each peer, with the time before it was asked for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StatementBook {
    statements: HashMap<NodeId, (Instant, TableStatement)>,
}

impl StatementBook {
    /// Notes the statement of a peer; an answer to an earlier question is dropped.
    pub fn note(&mut self, peer: NodeId, sent_at: Instant, said: TableStatement) {
        let newest = self.statements.entry(peer).or_insert((sent_at, said));
        if newest.0 <= sent_at {
            *newest = (sent_at, said);
        }
    }

    /// Forgets the statements of nodes that are no longer listed.
    pub fn keep_listed(&mut self, listed: &[NodeId]) {
        self.statements.retain(|peer, _| listed.contains(peer));
    }

    /// Returns the time up to which a majority of the listed nodes cover the configuration
    /// `config` of the node `own`, whose own statement `said` is of `now`.
    pub fn covered_until(
        &self,
        own: (&NodeId, TableStatement),
        listed: &[NodeId],
        config: ConfigVersion,
        now: Instant,
        bounds: &StandingBounds,
    ) -> Option<Instant> {
        let (own_id, own_said) = own;
        let covers = |said: &TableStatement| said.is_silent && said.newest_config <= config;
        if !covers(&own_said) {
            return None;
        }
        let mut asked_at: Vec<Instant> = listed
            .iter()
            .filter_map(|node| match node {
                node if node == own_id => Some(now),
                node => self
                    .statements
                    .get(node)
                    .filter(|(_, said)| covers(said))
                    .map(|(sent_at, _)| *sent_at),
            })
            .collect();
        asked_at.sort_by_key(|at| std::cmp::Reverse(*at));
        let needed = Quorum::of(listed.len()).to_cover();
        let oldest_needed = asked_at.get(needed - 1)?;
        let until = *oldest_needed + bounds.statement_ms.duration();
        (now < until).then_some(until)
    }
}
