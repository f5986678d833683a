//! Builds and parses group names, which contain the model's name.

use cuminlb_types::prelude::*;

/// Returns the name of a group that serves a model; `epoch` is the epoch at which it was created.
///
/// Returns `None` if the model's name is too long to append the epoch.
pub fn group_name(model: &ModelId, epoch: Epoch) -> Option<GroupId> {
    format!("{model}.{epoch}").parse().ok()
}

/// The separator before the epoch in the names of spare groups.
const SPARE_MARKER: &str = ".s";

/// Returns the name of the single-member group that a spare joins and that never serves.
///
/// Returns `None` if the model's name is too long to append the epoch.
pub fn spare_group_name(model: &ModelId, epoch: Epoch) -> Option<GroupId> {
    format!("{model}{SPARE_MARKER}{epoch}").parse().ok()
}

/// Returns whether a group name is that of a spare's single-member group.
pub fn is_spare_group(group: &GroupId) -> bool {
    let parts = group.as_str().rsplit_once(SPARE_MARKER);
    parts.is_some_and(|(_, epoch)| epoch.parse::<Epoch>().is_ok())
}

/// Returns the model in a group name, or `None` if the name does not contain one.
pub fn group_model(group: &GroupId) -> Option<ModelId> {
    let (model, _) = group.as_str().rsplit_once('.')?;
    model.parse().ok()
}
