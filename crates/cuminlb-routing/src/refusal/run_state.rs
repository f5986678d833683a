//! Whether a refused request may have been executed.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a refused request has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// It is certain that the request has not run and will not run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request has run.
    Ran,
}

impl fmt::Display for RunState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::Ran => "ran",
        })
    }
}
