//! Estimates how long an unused instance needs to join a group.

use cuminlb_catalog::{InstanceEntry, ModelShape};
use cuminlb_types::prelude::*;

/// The join time of an instance whose last group served the same model.
const REJOIN_MS: Millis = Millis(200);

/// An instance that could become a member of a group, with its estimated join time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate<'a> {
    pub(crate) entry: &'a InstanceEntry,
    pub(crate) join_ms: Millis,
    pub(crate) must_load: bool,
}

impl<'a> Candidate<'a> {
    /// Estimates the join time of an instance for a model; `last_model` is the model of its last
    /// group.
    pub(crate) fn new(
        entry: &'a InstanceEntry,
        shape: &ModelShape,
        last_model: Option<&ModelId>,
    ) -> Self {
        let must_load = !entry.has_staged(&shape.id);
        let join_ms = if last_model == Some(&shape.id) {
            REJOIN_MS
        } else if must_load {
            shape.load_ms
        } else {
            shape.warm_join_ms
        };
        Self {
            entry,
            join_ms,
            must_load: must_load && join_ms != REJOIN_MS,
        }
    }
}
