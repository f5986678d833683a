//! [`CallPattern`].

use std::fmt;
use std::str::FromStr;

use cuminlb_types::UnknownWordError;
use smol_str::SmolStr;

/// The method and the path prefix of the calls that a rule is about, as `POST /reservations`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallPattern {
    /// The method, in capitals.
    pub method: SmolStr,
    /// The start of the path below the prefix of the service.
    pub path: SmolStr,
}

impl CallPattern {
    /// Tells whether a call is one of these.
    ///
    /// The path matches whole segments: `/reservations` covers `/reservations/7`.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let Some(rest) = path.strip_prefix(self.path.as_str()) else {
            return false;
        };
        let at_segment = rest.is_empty() || rest.starts_with(['/', '?']) || self.path == "/";
        self.method == method && at_segment
    }
}

impl fmt::Display for CallPattern {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.method, self.path)
    }
}

impl FromStr for CallPattern {
    type Err = UnknownWordError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let expected = "a method and a path such as `POST /reservations`";
        let bad = || UnknownWordError {
            expected,
            text: text.into(),
        };
        let (method, path) = text.split_once(' ').ok_or_else(bad)?;
        let method_is_upper = !method.is_empty() && method.bytes().all(|b| b.is_ascii_uppercase());
        if !method_is_upper || !path.starts_with('/') {
            return Err(bad());
        }
        Ok(Self {
            method: method.into(),
            path: path.into(),
        })
    }
}
