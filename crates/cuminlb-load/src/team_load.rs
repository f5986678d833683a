//! [`TeamLoad`].

use cuminlb_types::prelude::*;

/// The part of the load that one team sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamLoad {
    /// The name of the team in the report.
    pub name: String,
    /// The API key of the team.
    pub api_key: String,
    /// How often the team is drawn against the others.
    pub weight: ShareWeight,
}
