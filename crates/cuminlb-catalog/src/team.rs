//! [`Team`].

use cuminlb_types::prelude::*;

/// A team whose callers show keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Its name.
    pub id: TeamId,
    /// The rank of its requests, 0 first; it goes before that of the route.
    pub priority: Option<u8>,
}
