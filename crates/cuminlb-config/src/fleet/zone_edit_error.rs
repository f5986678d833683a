//! The error of changing the state of an availability zone in a fleet file.

use cuminlb_types::prelude::*;

use crate::check::ConfigError;

/// The reason why the state of an availability zone can't be changed in a fleet file.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum ZoneEditError {
    /// The file is invalid.
    #[error(transparent)]
    Invalid(#[from] ConfigError),
    /// The file does not contain the zone.
    #[error("the fleet file has no zone {zone}; it has {}", join_ids(.known))]
    UnknownZone {
        /// The requested zone.
        zone: ZoneId,
        /// The zones in the file.
        known: Vec<ZoneId>,
    },
    /// The file is written in a form in which the state can't be changed without changing anything
    /// else.
    #[error(
        "the state of zone {zone} can't be changed automatically in this form of the file; \
         change it in your file and run `cuminctl apply`"
    )]
    UnsupportedForm {
        /// The requested zone.
        zone: ZoneId,
    },
}

/// Returns the ids as a comma-separated list.
fn join_ids(zones: &[ZoneId]) -> String {
    let ids: Vec<&str> = zones.iter().map(ZoneId::as_str).collect();
    ids.join(", ")
}
