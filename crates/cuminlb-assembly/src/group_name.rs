//! The names of groups, which tell the model.

use cuminlb_types::prelude::*;

/// Returns the name of a group that serves a model from an epoch on.
///
/// Returns `None` where the model's name leaves no room for the epoch.
pub fn group_name(model: &ModelId, epoch: Epoch) -> Option<GroupId> {
    format!("{model}.{epoch}").parse().ok()
}

/// Returns the model that a group of this name serves.
pub fn group_model(group: &GroupId) -> Option<ModelId> {
    let (model, _) = group.as_str().rsplit_once('.')?;
    model.parse().ok()
}
