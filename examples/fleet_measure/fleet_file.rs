//! Builds the fleet file and the ids of the example.

use std::fmt;

use cuminlb_config::FleetSpec;

use crate::schedule::ZONES;
use crate::size::FleetSize;

/// Reads an id that the example has made.
pub(crate) fn id<T: std::str::FromStr<Err: fmt::Debug>>(text: String) -> T {
    match text.parse() {
        Ok(id) => id,
        Err(error) => unreachable!("{text} is a valid id: {error:?}"),
    }
}

/// Returns the fleet file of a size.
pub(crate) fn fleet(
    size: FleetSize,
    weights: [f64; 3],
    zones_in: [bool; ZONES as usize],
) -> FleetSpec {
    let [downtime, stranded, zone_change] = weights;
    let mut text = format!(
        "[measures]\ngroup_downtime = {downtime:?}\nstranded_accelerators = {stranded:?}\n\
         zone_change = {zone_change:?}\n\
         [[model_service]]\nid = \"m\"\nmodel = \"m\"\nreplicas = {}\n\
         members_per_replica = {}\n",
        size.replicas, size.members
    );
    for (number, is_in) in zones_in.into_iter().enumerate() {
        let state = if is_in { "in" } else { "out" };
        text += &format!("[[zone]]\nid = \"z{number}\"\nregion = \"r\"\nstate = \"{state}\"\n");
    }
    match FleetSpec::parse("fleet", &text) {
        Ok(fleet) => fleet,
        Err(error) => unreachable!("the fleet file of the example is valid: {error}"),
    }
}
