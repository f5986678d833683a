//! The share of the load that is sent on behalf of one team.

use cuminlb_types::prelude::*;

/// The share of the requests that one team sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamLoad {
    /// The team's name in the report.
    pub name: String,
    /// The API key of the team.
    pub api_key: String,
    /// The team's share of the requests, relative to the weights of the others.
    pub weight: ShareWeight,
}
