//! The closed set of kinds of services.

use super::{ModelSpec, PlainSpec};

/// The kind of a service, with the settings that are specific to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServiceKind {
    /// A model that spans the member instances of each group.
    Model(ModelSpec),
    /// A plain service; each group consists of one worker.
    Plain(PlainSpec),
}
