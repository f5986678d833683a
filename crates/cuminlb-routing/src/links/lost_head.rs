//! A group head that a node has found lost.

use cuminlb_types::prelude::*;

use crate::InFlightCount;

/// The prefix of the entries in load reports that stand for lost heads.
const ENTRY_PREFIX: &str = "lost/";

/// The head of a group in an epoch, when the head or another member was found lost.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LostHead {
    /// The head.
    pub instance: InstanceId,
    /// The epoch of the group.
    pub epoch: Epoch,
}

impl LostHead {
    /// Returns the entry of a load report that stands for this head: `lost/EPOCH/ID` with one request.
    /// Older nodes add it up like that of an instance which they do not know. Returns nothing if the id
    /// is too long for that.
    pub fn to_entry(&self) -> Option<InFlightCount> {
        let name = format!("{ENTRY_PREFIX}{}/{}", self.epoch, self.instance);
        let instance = name.parse().ok()?;
        Some(InFlightCount {
            instance,
            requests: 1,
        })
    }

    /// Removes the entries that stand for lost heads from a load report, and returns these heads.
    pub fn take_from(counts: &mut Vec<InFlightCount>) -> Vec<Self> {
        let is_lost = |count: &mut InFlightCount| count.instance.as_str().starts_with(ENTRY_PREFIX);
        let entries = counts.extract_if(.., is_lost);
        entries.filter_map(|it| Self::from_entry(&it)).collect()
    }

    fn from_entry(entry: &InFlightCount) -> Option<Self> {
        let rest = entry.instance.as_str().strip_prefix(ENTRY_PREFIX)?;
        let (epoch, instance) = rest.split_once('/')?;
        Some(Self {
            instance: instance.parse().ok()?,
            epoch: epoch.parse().ok()?,
        })
    }
}
