//! The pattern by which the fleet file selects calls to a plain service.

use std::fmt;
use std::str::FromStr;

use cuminlb_types::ParseValueError;
use smol_str::SmolStr;

/// The method and the path prefix of the calls that a rule applies to, such as
/// `POST /reservations`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallPattern {
    /// The method, in upper case.
    pub method: SmolStr,
    /// The path prefix, relative to the prefix of the service.
    pub path: SmolStr,
}

impl CallPattern {
    /// Returns whether a call matches the pattern.
    ///
    /// The prefix matches complete segments only: `/reservations` matches `/reservations/7`, but
    /// not `/reservations2`.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let Some(remainder) = path.strip_prefix(self.path.as_str()) else {
            return false;
        };
        let ends_at_segment =
            remainder.is_empty() || remainder.starts_with(['/', '?']) || self.path == "/";
        self.method == method && ends_at_segment
    }
}

impl fmt::Display for CallPattern {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.method, self.path)
    }
}

impl FromStr for CallPattern {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let expected = "a method and a path such as `POST /reservations`";
        let invalid = || ParseValueError {
            expected,
            text: text.into(),
        };
        let (method, path) = text.split_once(' ').ok_or_else(invalid)?;
        let method_is_upper = !method.is_empty() && method.bytes().all(|b| b.is_ascii_uppercase());
        if !method_is_upper || !path.starts_with('/') {
            return Err(invalid());
        }
        Ok(Self {
            method: method.into(),
            path: path.into(),
        })
    }
}
