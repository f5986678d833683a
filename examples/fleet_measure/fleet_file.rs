//! Generates the fleet file and the ids of the simulated fleet.

use std::fmt;

use cuminlb_config::FleetSpec;

use crate::schedule::ZONE_COUNT;
use crate::size::FleetSize;

/// Parses an id that the simulation has generated.
pub(crate) fn id<T: std::str::FromStr<Err: fmt::Debug>>(text: String) -> T {
    match text.parse() {
        Ok(id) => id,
        Err(error) => unreachable!("the generated id {text} is valid: {error:?}"),
    }
}

/// Returns the fleet file for a fleet size, measure weights and zone states.
pub(crate) fn fleet(
    size: FleetSize,
    weights: [f64; 3],
    zones_in: [bool; ZONE_COUNT as usize],
) -> FleetSpec {
    let [downtime, stranded, zone_change] = weights;
    let mut text = format!(
        "[measures]\ngroup_downtime = {downtime:?}\nstranded_accelerators = {stranded:?}\n\
         zone_change = {zone_change:?}\n\
         [[model_service]]\nid = \"m\"\nmodel = \"m\"\nreplicas = {}\n\
         members_per_replica = {}\n",
        size.replicas, size.members_per_group
    );
    for (index, is_in) in zones_in.into_iter().enumerate() {
        let state = if is_in { "in" } else { "out" };
        text += &format!("[[zone]]\nid = \"z{index}\"\nregion = \"r\"\nstate = \"{state}\"\n");
    }
    match FleetSpec::parse("fleet", &text) {
        Ok(fleet) => fleet,
        Err(error) => unreachable!("the generated fleet file is valid: {error}"),
    }
}
