//! [`Candidate`].

use cuminlb_catalog::{InstanceEntry, ModelShape};
use cuminlb_types::prelude::*;

/// The time that joining takes for an instance whose last group served the same model.
const REJOIN_MS: Millis = Millis(200);

/// An instance that could become a member, and the time that its joining takes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate<'a> {
    pub(crate) entry: &'a InstanceEntry,
    pub(crate) join_ms: Millis,
    pub(crate) must_load: bool,
}

impl<'a> Candidate<'a> {
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
            shape.warm_ms
        };
        Self {
            entry,
            join_ms,
            must_load: must_load && join_ms != REJOIN_MS,
        }
    }
}
