//! [`ZoneEditError`].

use cuminlb_types::prelude::*;

use crate::check::ConfigError;

/// The reason why the state of a zone can't be changed in a fleet file.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum ZoneEditError {
    /// The file has mistakes.
    #[error(transparent)]
    Invalid(#[from] ConfigError),
    /// The file does not name the zone.
    #[error("the fleet file has no zone {zone}; it has {}", names(.known))]
    UnknownZone {
        /// The zone that was asked for.
        zone: ZoneId,
        /// The zones of the file.
        known: Vec<ZoneId>,
    },
    /// The state can't be changed without changing something else.
    #[error(
        "the state of zone {zone} can't be changed alone in the way the file is written; \
         change it in your file and run `cuminctl apply`"
    )]
    CanNotEdit {
        /// The zone.
        zone: ZoneId,
    },
}

fn names(zones: &[ZoneId]) -> String {
    let names: Vec<&str> = zones.iter().map(ZoneId::as_str).collect();
    names.join(", ")
}
