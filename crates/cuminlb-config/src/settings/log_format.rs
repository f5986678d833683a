//! [`LogFormat`].

use std::fmt;
use std::str::FromStr;

use cuminlb_types::UnknownWordError;

/// The form of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// A line for people.
    #[default]
    Text,
    /// A JSON object a line.
    Json,
}

impl fmt::Display for LogFormat {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Text => "text",
            Self::Json => "json",
        })
    }
}

impl FromStr for LogFormat {
    type Err = UnknownWordError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(UnknownWordError {
                expected: "text or json",
                text: text.into(),
            }),
        }
    }
}
