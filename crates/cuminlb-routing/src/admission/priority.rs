//! [`Priority`].

use std::fmt;
use std::str::FromStr;

use cuminlb_types::prelude::*;

/// The order of a team's own requests; it takes nothing from other teams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// Before the team's other requests.
    High,
    /// As usual.
    #[default]
    Normal,
    /// After the team's other requests.
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
    type Err = UnknownWordError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "high" => Ok(Self::High),
            "normal" => Ok(Self::Normal),
            "low" => Ok(Self::Low),
            _ => Err(UnknownWordError {
                text: text.into(),
                expected: "high, normal or low",
            }),
        }
    }
}
