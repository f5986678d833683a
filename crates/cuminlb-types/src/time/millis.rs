//! The duration type of settings, messages and rows.

use std::fmt;
use std::ops::{Add, Mul};
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ParseNumberError;

/// A duration in milliseconds.
///
/// The text form is that of the settings: `250ms`, `2s`, `1m 30s`. It is serialized as the number
/// of milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// Returns the plain number of milliseconds.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the value as a [`Duration`].
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// Returns this duration minus another, or zero if the other is longer.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl From<Duration> for Millis {
    fn from(duration: Duration) -> Self {
        Self(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Mul<u64> for Millis {
    type Output = Self;

    fn mul(self, factor: u64) -> Self {
        Self(self.0.saturating_mul(factor))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", humantime::format_duration(self.duration()))
    }
}

impl FromStr for Millis {
    type Err = ParseNumberError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        humantime::parse_duration(text)
            .map(Self::from)
            .map_err(|_| ParseNumberError {
                kind: "duration such as 250ms",
                text: text.into(),
            })
    }
}
