//! Parses the points in time that operators pass to `cuminctl`.

use std::str::FromStr;

use cuminlb_types::ParseNumberError;
use cuminlb_types::prelude::*;

/// A point in time as operators write it: `10m` for ten minutes ago, or a timestamp.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimePoint {
    /// A duration in milliseconds before the current time.
    Ago(Millis),
    /// An absolute time.
    At(UnixMillis),
}

impl TimePoint {
    /// Returns the absolute time, given the current time `now_ms`.
    pub const fn resolve(self, now_ms: UnixMillis) -> UnixMillis {
        match self {
            Self::Ago(ago_ms) => UnixMillis(now_ms.get().saturating_sub(ago_ms.get())),
            Self::At(at_ms) => at_ms,
        }
    }
}

impl FromStr for TimePoint {
    type Err = ParseNumberError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if let Ok(ago_ms) = text.parse() {
            return Ok(Self::Ago(ago_ms));
        }
        text.parse().map(Self::At).map_err(|_| ParseNumberError {
            kind: "time; use a duration such as `10m` for ten minutes ago, or 2026-05-01T06:00:00Z",
            text: text.into(),
        })
    }
}
