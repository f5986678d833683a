//! The error response to an apply of a fleet file.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The reason why a fleet file was not applied.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "error")]
#[derive(thiserror::Error)]
pub enum ApplyError {
    /// The fleet file is invalid.
    #[error("{report}")]
    Invalid {
        /// All errors in the file.
        report: SmolStr,
    },
    /// Another operator has changed the configuration in the meantime.
    #[error(
        "the current configuration is {in_force}, not the one you edited; \
         run `cuminctl show`, merge your change and apply again"
    )]
    Conflict {
        /// The current version.
        in_force: ConfigVersion,
    },
    /// The call to the table failed; nothing has changed.
    #[error("nothing was changed: {reason}; retry when the platform is available")]
    NotReached {
        /// The error from the table.
        reason: SmolStr,
    },
    /// It is unknown whether the configuration was committed.
    #[error("unknown whether the configuration was committed: {reason}; run `cuminctl status`")]
    Unknown {
        /// The error from the table.
        reason: SmolStr,
    },
}
