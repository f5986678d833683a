//! Records availability zones that a configuration takes out or in.

use cuminlb_config::{FleetSpec, ZoneState};
use cuminlb_events::{EventKind, EventLog};
use cuminlb_types::prelude::*;

/// Records each zone whose state differs from that of the configuration before; a first
/// configuration records the zones that are out.
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
    let gone = before.into_iter().flat_map(|before| &before.zones);
    let gone = gone.filter(|zone| zone.state == ZoneState::In);
    for zone in gone.filter(|zone| !after.zones.iter().any(|kept| kept.id == zone.id)) {
        let target = zone.id.clone();
        events.record(EventKind::ZoneTakenOut { target, version });
    }
}
