//! The priority of a request among those of its team, as stated by the caller.

use std::fmt;
use std::str::FromStr;

use cuminlb_types::prelude::*;

/// The order among the requests of one team; it does not affect the share of other teams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// Served before the team's other requests.
    High,
    /// The default.
    #[default]
    Normal,
    /// Served after the team's other requests.
    Low,
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::High => "high",
            Self::Normal => "normal",
            Self::Low => "low",
        })
    }
}

impl FromStr for Priority {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "high" => Ok(Self::High),
            "normal" => Ok(Self::Normal),
            "low" => Ok(Self::Low),
            _ => Err(ParseValueError {
                text: text.into(),
                expected: "high, normal or low",
            }),
        }
    }
}
