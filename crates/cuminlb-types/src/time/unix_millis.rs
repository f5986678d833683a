//! Wall-clock time, for values that other processes and operators read.

use std::fmt;
use std::str::FromStr;
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use crate::ParseNumberError;

/// The start of the year 10000, from which on RFC 3339 has no text for a time.
const YEAR_10000_MS: u64 = 253_402_300_800_000;

/// A point of wall-clock time, in milliseconds since the Unix epoch.
///
/// The text form is a date and time in UTC, as RFC 3339 defines it. From the year 10000 on, it is
/// the number of milliseconds, such as `253402300800000ms`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct UnixMillis(pub u64);

impl UnixMillis {
    /// Returns the current time of the system clock, or zero if it is set before 1970.
    pub fn now() -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
    }

    /// Returns the plain number of milliseconds.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for UnixMillis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0 >= YEAR_10000_MS {
            return write!(f, "{}ms", self.0);
        }
        let time = UNIX_EPOCH + std::time::Duration::from_millis(self.0);
        write!(f, "{}", humantime::format_rfc3339_millis(time))
    }
}

impl FromStr for UnixMillis {
    type Err = ParseNumberError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || ParseNumberError {
            kind: "time such as 2026-05-01T06:00:00Z",
            text: text.into(),
        };
        if let Some(number) = text.strip_suffix("ms") {
            return number.parse().map(Self).map_err(|_| invalid());
        }
        let time = humantime::parse_rfc3339_weak(text).map_err(|_| invalid())?;
        let since_epoch = time.duration_since(UNIX_EPOCH).map_err(|_| invalid())?;
        u64::try_from(since_epoch.as_millis())
            .map(Self)
            .map_err(|_| invalid())
    }
}
