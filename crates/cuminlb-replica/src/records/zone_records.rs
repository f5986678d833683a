//! The availability zones that nothing may be sent to.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cuminlb_types::prelude::*;
use tokio::time::Instant;

/// How long a zone stays out that a restored store doesn't list as out. The operators' order was
/// confirmed, and they write it again.
const MISSING_RETENTION: Duration = Duration::from_secs(15);

/// The availability zones that nothing may be sent to.
#[derive(Clone, Debug, Default)]
pub struct ZoneRecords {
    /// The zones, with the time until which each is out if it is missing in the store.
    out: BTreeMap<ZoneId, Option<Instant>>,
}

impl ZoneRecords {
    /// Records that a zone is out; returns whether it was not.
    pub fn put(&mut self, zone: ZoneId) -> bool {
        self.out.insert(zone, None).is_none()
    }

    /// Records that the operators have taken a zone back; returns whether it was out.
    pub fn remove(&mut self, zone: &ZoneId) -> bool {
        self.out.remove(zone).is_some()
    }

    /// Handles a zone that is not out in the copy that the store was restored from.
    pub fn restore_absence(&mut self, zone: &ZoneId, now: Instant) {
        if let Some(until) = self.out.get_mut(zone) {
            until.get_or_insert(now + MISSING_RETENTION);
        }
    }

    /// Takes back and returns the zones that have been missing in the store for long.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<ZoneId> {
        let expired = self
            .out
            .extract_if(.., |_, until| until.is_some_and(|until| now >= until));
        expired.map(|(zone, _)| zone).collect()
    }

    /// Returns the zones that are out.
    pub fn zones(&self) -> BTreeSet<ZoneId> {
        self.out.keys().cloned().collect()
    }
}
