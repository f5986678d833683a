//! The instances that have stated that they leave.

use std::collections::BTreeMap;
use std::time::Duration;

use cuminlb_types::prelude::*;
use tokio::time::Instant;

/// How long the statement of an instance is kept after its entry was last seen.
const RETENTION: Duration = Duration::from_secs(120);

/// Maximum number of statements that are kept; those whose entries were last seen first go first.
const MAX_STATEMENTS: usize = 4_096;

/// The instances that have stated that they leave, in their entries or in a response, by incarnation.
///
/// A response may state this before the entry does, or without the entry ever doing so. An instance
/// that leaves never serves again in the same incarnation, so the statement holds until another
/// incarnation of it starts.
#[derive(Debug, Default)]
pub struct LeavingInstances {
    statements: BTreeMap<InstanceId, Statement>,
}

#[derive(Clone, Copy, Debug)]
struct Statement {
    incarnation: Incarnation,
    /// When its entry was last known to exist.
    listed_at: Instant,
}

impl LeavingInstances {
    /// Records the statement of an instance; that of an earlier incarnation than is known changes
    /// nothing.
    pub fn record(&mut self, id: &InstanceId, incarnation: Incarnation, now: Instant) {
        let known = self.statements.get(id);
        if known.is_none_or(|known| known.incarnation < incarnation) {
            let statement = Statement {
                incarnation,
                listed_at: now,
            };
            self.statements.insert(id.clone(), statement);
        }
        if self.statements.len() > MAX_STATEMENTS {
            let statements = self.statements.iter();
            let first = statements.min_by_key(|(_, statement)| statement.listed_at);
            let first = first.map(|(id, _)| id.clone());
            first.and_then(|id| self.statements.remove(&id));
        }
    }

    /// Returns whether an incarnation of an instance has stated that it leaves.
    pub fn contains(&self, id: &InstanceId, incarnation: Incarnation) -> bool {
        let known = self.statements.get(id);
        known.is_some_and(|known| known.incarnation == incarnation)
    }

    /// Removes the statement of an instance.
    pub fn remove(&mut self, id: &InstanceId) {
        self.statements.remove(id);
    }

    /// Removes the statements of incarnations that have had no entry for two minutes.
    pub fn remove_expired(
        &mut self,
        is_listed: impl Fn(&InstanceId, Incarnation) -> bool,
        now: Instant,
    ) {
        self.statements.retain(|id, statement| {
            if is_listed(id, statement.incarnation) {
                statement.listed_at = now;
            }
            now.duration_since(statement.listed_at) < RETENTION
        });
    }

    /// Returns the number of statements that are kept.
    pub fn len(&self) -> usize {
        self.statements.len()
    }

    /// Returns whether no statement is kept.
    pub fn is_empty(&self) -> bool {
        self.statements.is_empty()
    }
}
