//! What a node knows of its own links to instances.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cuminlb_types::prelude::*;
use tokio::time::Instant;

use super::link_outage::LinkOutage;
use super::{LeadFitness, LinkChange, LinkFailure, LinkRoute};

/// The number of instances that only other nodes reach from which on the links as a whole count as
/// lost, if this node reaches no other instance either.
const MIN_OUTAGES: usize = 3;

/// The time without anything received from an instance that is not known to be out of reach, after
/// which the links as a whole may be lost.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(400);

/// The number of instances that must be reached again before the links as a whole are used again.
const MIN_REACHED: usize = 2;

/// Minimum interval between two checks of a link that may be down.
const DOUBT_CHECK_PERIOD: Duration = Duration::from_millis(500);

/// What a node knows of its own links to instances.
///
/// This answers the load of callers that keep coming to a node which has lost its links while other
/// nodes have theirs. An instance is entered only if another node reaches it, so that instances that
/// are lost to all nodes never look like a loss of links.
#[derive(Debug, Default)]
pub struct LinkBoard {
    links: Mutex<Links>,
}

#[derive(Debug, Default)]
struct Links {
    outages: BTreeMap<InstanceId, LinkOutage>,
    /// Since when no instance is reached.
    lost_since: Option<Instant>,
    /// When something was last received from an instance that is not out of reach.
    contact_at: Option<Instant>,
    /// The instances that have been reached since the links were lost.
    reached: Vec<InstanceId>,
    /// When links that may be down were last checked.
    checked_at: BTreeMap<InstanceId, Instant>,
}

impl LinkBoard {
    /// Returns by which way a request is sent to an instance.
    pub fn route(&self, id: &InstanceId) -> LinkRoute {
        let links = self.links();
        let failure = match links.outages.get(id) {
            Some(outage) => outage.failure,
            None if links.lost_since.is_some() => links.failure_of_all(),
            None => return LinkRoute::Direct,
        };
        match failure {
            LinkFailure::Refused => LinkRoute::OpenOrForwarded,
            LinkFailure::Silent => LinkRoute::Forwarded,
        }
    }

    /// Returns since when this node reaches no instance.
    pub fn lost_since(&self) -> Option<Instant> {
        self.links().lost_since
    }

    /// Returns the number of instances that only other nodes reach.
    pub fn outage_count(&self) -> usize {
        self.links().outages.len()
    }

    /// Returns whether the links of this node let it lead.
    pub fn lead_fitness(&self) -> LeadFitness {
        let links = self.links();
        if links.lost_since.is_some() {
            LeadFitness::Unfit
        } else if links.outages.len() >= MIN_OUTAGES {
            LeadFitness::Impaired
        } else {
            LeadFitness::Fit
        }
    }

    /// Records that something was received from an instance on a connection of this node.
    pub fn record_contact(&self, id: &InstanceId, now: Instant) {
        let mut links = self.links();
        if !links.outages.contains_key(id) {
            links.contact_at = Some(now);
        }
    }

    /// Returns whether something was received after `since` from an instance that is not out of reach.
    pub fn has_contact_since(&self, since: Instant) -> bool {
        self.links().contact_at.is_some_and(|at| at > since)
    }

    /// Records that a new connection to an instance was opened.
    pub fn record_opened(&self, id: &InstanceId, now: Instant) -> LinkChange {
        let mut links = self.links();
        links.outages.remove(id);
        links.contact_at = Some(now);
        let Some(lost_since) = links.lost_since else {
            return LinkChange::None;
        };
        if !links.reached.contains(id) {
            links.reached.push(id.clone());
        }
        if links.reached.len() < MIN_REACHED && !links.outages.is_empty() {
            return LinkChange::None;
        }
        *links = Links {
            contact_at: Some(now),
            ..Links::default()
        };
        let outage = now.duration_since(lost_since);
        LinkChange::Regained { outage }
    }

    /// Records that this node does not reach an instance that another node reaches.
    pub fn record_outage(&self, id: &InstanceId, failure: LinkFailure, now: Instant) -> LinkChange {
        let mut links = self.links();
        let outage = links.outages.entry(id.clone()).or_insert(LinkOutage {
            failure,
            checked_at: now,
        });
        if failure == LinkFailure::Silent {
            outage.failure = failure;
        }
        outage.checked_at = now;
        links.record_failure(now)
    }

    /// Returns whether the link to an instance that may be down should be checked now, which it is not
    /// again for a while.
    pub fn begin_check(&self, id: &InstanceId, now: Instant) -> bool {
        let mut links = self.links();
        let is_recent = |at: &Instant| now.duration_since(*at) < DOUBT_CHECK_PERIOD;
        links.checked_at.retain(|_, at| is_recent(at));
        let is_due = !links.checked_at.contains_key(id);
        if is_due {
            links.checked_at.insert(id.clone(), now);
        }
        is_due
    }

    /// Returns the instance whose link should be checked next; `None` if no link is down.
    pub fn next_check(&self) -> Option<InstanceId> {
        let links = self.links();
        let next = links.outages.iter().min_by_key(|(_, it)| it.checked_at)?;
        Some(next.0.clone())
    }

    /// Records that a check has found the link to an instance down.
    pub fn record_check_failed(&self, id: &InstanceId, now: Instant) -> LinkChange {
        let mut links = self.links();
        let Some(outage) = links.outages.get_mut(id) else {
            return LinkChange::None;
        };
        outage.checked_at = now;
        links.record_failure(now)
    }

    /// Removes the instances that no longer exist. If none is left, the links count as usable.
    pub fn retain(&self, exists: impl Fn(&InstanceId) -> bool) {
        let mut links = self.links();
        links.outages.retain(|id, _| exists(id));
        if links.outages.is_empty() {
            links.lost_since = None;
        }
    }

    fn links(&self) -> MutexGuard<'_, Links> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Links {
    /// Records that an instance was not reached, and decides whether any is.
    fn record_failure(&mut self, now: Instant) -> LinkChange {
        self.reached.clear();
        let has_contact = self
            .contact_at
            .is_some_and(|at| now.duration_since(at) < CONTACT_TIMEOUT);
        if self.lost_since.is_some() || has_contact || self.outages.len() < MIN_OUTAGES {
            return LinkChange::None;
        }
        self.lost_since = Some(now);
        LinkChange::Lost
    }

    /// Returns how the links fail if all do: open connections are usable only if none was silent.
    fn failure_of_all(&self) -> LinkFailure {
        let has_silent = |outage: &LinkOutage| outage.failure == LinkFailure::Silent;
        if self.outages.values().any(has_silent) {
            LinkFailure::Silent
        } else {
            LinkFailure::Refused
        }
    }
}
