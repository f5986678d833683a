//! The filter of event queries.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{Event, EventKind, HybridTime};

/// Selects events. An absent field matches every event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EventFilter {
    /// Only events about this request.
    pub request: Option<RequestId>,
    /// Only events about this group or the lease of its owner.
    pub group: Option<GroupId>,
    /// Only events about this team.
    pub team: Option<TeamId>,
    /// Only events about this service or the lease of the node that plans it.
    pub service: Option<ServiceId>,
    /// Only events of nodes in this availability zone, or about the zone itself.
    pub zone: Option<ZoneId>,
    /// Only events at or after this wall-clock time.
    pub since_ms: Option<UnixMillis>,
    /// Only events at or before this wall-clock time.
    pub until_ms: Option<UnixMillis>,
    /// Only events after this timestamp.
    pub after: Option<HybridTime>,
}

impl EventFilter {
    /// Returns whether an event matches the filter.
    pub fn matches(&self, event: &Event) -> bool {
        fn field_matches<T: PartialEq>(wanted: Option<&T>, found: Option<&T>) -> bool {
            wanted.is_none() || wanted == found
        }
        let kind = &event.kind;
        field_matches(self.request.as_ref(), kind.request())
            && field_matches(self.team.as_ref(), kind.team())
            && self.matches_group(kind)
            && self.matches_service(kind)
            && self.matches_zone(event)
            && self.matches_time(event.time)
    }

    fn matches_group(&self, kind: &EventKind) -> bool {
        let group = self.group.as_ref();
        group.is_none_or(|group| kind.is_about_group(group))
    }

    fn matches_service(&self, kind: &EventKind) -> bool {
        let service = self.service.as_ref();
        service.is_none_or(|service| kind.is_about_service(service))
    }

    fn matches_zone(&self, event: &Event) -> bool {
        self.zone
            .as_ref()
            .is_none_or(|zone| *zone == event.zone || Some(zone) == event.kind.target_zone())
    }

    fn matches_time(&self, time: HybridTime) -> bool {
        self.after.is_none_or(|after| time > after)
            && self.since_ms.is_none_or(|since| time.wall_ms >= since)
            && self.until_ms.is_none_or(|until| time.wall_ms <= until)
    }
}
