//! A `[[team]]` of the fleet file.

use cuminlb_types::prelude::*;

use super::ApiKeyDigest;
use crate::check::{Bounds, TableReader};

/// A team of callers and its limits.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamSpec {
    /// The id of the team.
    pub id: TeamId,
    /// The digest of the API key with which the team's callers authenticate.
    pub api_key: ApiKeyDigest,
    /// The weight of the team when capacity is scarce.
    pub share: ShareWeight,
    /// The rate limit of the team, over all nodes.
    pub rate: RequestsPerSecond,
}

impl TeamSpec {
    pub(crate) fn read(reader: &mut TableReader<'_>) -> Option<Self> {
        let id = reader.required("id", "name the team");
        let hint = "give the SHA-256 digest of the team's key in hexadecimal";
        let api_key = reader.required("api_key_sha256", hint);
        let share = reader.bounded(
            "share",
            ShareWeight(1),
            Bounds {
                min: ShareWeight(1),
                max: ShareWeight(10_000),
            },
        );
        let rate = reader.bounded(
            "rate_per_s",
            RequestsPerSecond(100.0),
            Bounds {
                min: RequestsPerSecond(0.01),
                max: RequestsPerSecond(1_000_000.0),
            },
        );
        Some(Self {
            id: id?,
            api_key: api_key?,
            share,
            rate,
        })
    }
}
