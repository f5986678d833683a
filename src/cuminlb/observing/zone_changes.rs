//! Records the availability zones that a new configuration takes out of service or brings back.

use cuminlb_config::{FleetSpec, ZoneState};
use cuminlb_events::{EventKind, EventLog};
use cuminlb_types::prelude::*;

/// Records an event for each availability zone whose state differs from that in the previous
/// configuration `before`.
///
/// Without a previous configuration, every zone counts as in service before, so that the zones
/// that are out are recorded. A zone in service that is missing from the new configuration is
/// recorded as taken out.
pub fn record_zone_changes(
    events: &EventLog,
    before: Option<&FleetSpec>,
    after: &FleetSpec,
    version: ConfigVersion,
) {
    for zone in &after.zones {
        let was_in = before.is_none_or(|before| before.zone_is_in(&zone.id));
        let target = zone.id.clone();
        match zone.state {
            ZoneState::Out if was_in => {
                events.record(EventKind::ZoneTakenOut { target, version });
            }
            ZoneState::In if !was_in => {
                events.record(EventKind::ZoneTakenIn { target, version });
            }
            ZoneState::In | ZoneState::Out => {}
        }
    }
    let removed = before.into_iter().flat_map(|before| &before.zones);
    let removed = removed.filter(|zone| zone.state == ZoneState::In);
    for zone in removed.filter(|zone| !after.zones.iter().any(|other| other.id == zone.id)) {
        let target = zone.id.clone();
        events.record(EventKind::ZoneTakenOut { target, version });
    }
}
