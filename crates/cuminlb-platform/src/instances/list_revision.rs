//! The revision number of the instance list.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The revision of the instance list; every change increases it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct ListRevision(pub u64);

impl fmt::Display for ListRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
