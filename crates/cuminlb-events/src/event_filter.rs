//! [`EventFilter`].

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{Event, HybridTime};

/// Selects events; a field that is absent selects all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EventFilter {
    /// Only events about this request.
    pub request: Option<RequestId>,
    /// Only events about this group.
    pub group: Option<GroupId>,
    /// Only events about this team.
    pub team: Option<TeamId>,
    /// Only events of nodes in this availability zone.
    pub zone: Option<ZoneId>,
    /// Only events after this time.
    pub after: Option<HybridTime>,
}

impl EventFilter {
    /// Tells whether the filter selects an event.
    pub fn selects(&self, event: &Event) -> bool {
        fn matches<T: PartialEq>(wanted: Option<&T>, found: Option<&T>) -> bool {
            wanted.is_none() || wanted == found
        }
        matches(self.request.as_ref(), event.kind.request())
            && matches(self.group.as_ref(), event.kind.group())
            && matches(self.team.as_ref(), event.kind.team())
            && matches(self.zone.as_ref(), Some(&event.zone))
            && self.after.is_none_or(|after| event.time > after)
    }
}
