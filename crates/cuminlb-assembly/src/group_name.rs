//! The names of groups, which tell the model.

use cuminlb_types::prelude::*;

/// Returns the name of a group that serves a model from an epoch on.
///
/// Returns `None` where the model's name leaves no room for the epoch.
pub fn group_name(model: &ModelId, epoch: Epoch) -> Option<GroupId> {
    format!("{model}.{epoch}").parse().ok()
}

/// The mark of the groups of spares before the epoch.
const SPARE_MARK: &str = ".s";

/// Returns the name of a group that a spare joins by itself, which never serves.
///
/// Returns `None` where the model's name leaves no room for the epoch.
pub fn spare_group_name(model: &ModelId, epoch: Epoch) -> Option<GroupId> {
    format!("{model}{SPARE_MARK}{epoch}").parse().ok()
}

/// Tells whether a group of this name is that of a spare.
pub fn is_spare_group(group: &GroupId) -> bool {
    let mark = group.as_str().rsplit_once(SPARE_MARK);
    mark.is_some_and(|(_, epoch)| epoch.parse::<Epoch>().is_ok())
}

/// Returns the model that a group of this name serves.
pub fn group_model(group: &GroupId) -> Option<ModelId> {
    let (model, _) = group.as_str().rsplit_once('.')?;
    model.parse().ok()
}
