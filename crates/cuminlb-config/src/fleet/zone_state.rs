//! The state of an availability zone, which operators set.

use std::fmt;
use std::str::FromStr;

use cuminlb_types::ParseValueError;

/// Whether an availability zone accepts new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ZoneState {
    /// The zone accepts new work.
    #[default]
    In,
    /// An operator has taken the zone out of service; it accepts no new work.
    Out,
}

impl fmt::Display for ZoneState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::In => "in",
            Self::Out => "out",
        })
    }
}

impl FromStr for ZoneState {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "in" => Ok(Self::In),
            "out" => Ok(Self::Out),
            _ => Err(ParseValueError {
                expected: "in or out",
                text: text.into(),
            }),
        }
    }
}
