//! [`ServiceKind`].

use super::{ModelSpec, PlainSpec};

/// What kind of service the groups of a service run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServiceKind {
    /// A model that spans the member instances of each group.
    Model(ModelSpec),
    /// A plain service; each group is one worker.
    Plain(PlainSpec),
}
