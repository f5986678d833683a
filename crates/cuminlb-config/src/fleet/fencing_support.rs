//! Whether the upstreams of a service check fencing numbers.

use std::fmt;
use std::str::FromStr;

use cuminlb_types::ParseValueError;

/// What an engine does with an order that has an outdated fencing number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FencingSupport {
    /// The engine refuses the order.
    #[default]
    Checked,
    /// The engine executes the order.
    Ignored,
}

impl fmt::Display for FencingSupport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Checked => "checked",
            Self::Ignored => "ignored",
        })
    }
}

impl FromStr for FencingSupport {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "checked" => Ok(Self::Checked),
            "ignored" => Ok(Self::Ignored),
            _ => Err(ParseValueError {
                expected: "checked or ignored",
                text: text.into(),
            }),
        }
    }
}
