//! [`ApplyError`].

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The reason why an apply was not accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "error")]
#[derive(thiserror::Error)]
pub enum ApplyError {
    /// The fleet file has mistakes.
    #[error("{report}")]
    Invalid {
        /// All mistakes.
        report: SmolStr,
    },
    /// Another operator was faster.
    #[error(
        "the configuration in force is {in_force}, not the one you edited; \
         run `cuminctl show`, merge your change and apply again"
    )]
    Conflict {
        /// The version in force.
        in_force: ConfigVersion,
    },
    /// The table was not reached; nothing has changed.
    #[error("nothing was changed: {reason}; try again when the platform answers")]
    NotReached {
        /// What the table reported.
        reason: SmolStr,
    },
    /// It is not known whether the configuration was committed.
    #[error("it is not known whether this was committed: {reason}; run `cuminctl status`")]
    Unknown {
        /// What the table reported.
        reason: SmolStr,
    },
}
