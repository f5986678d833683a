//! The reports of nodes to which the head of a group is silent.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cuminlb_types::prelude::*;

/// Number of reporting nodes that replace second opinions, if all are of one availability zone.
const MIN_NODES: usize = 3;

/// Number of availability zones with a reporting node that replace second opinions.
const MIN_ZONES: usize = 2;

/// The reports of nodes to which the head of a group is silent, as received by the node that checks it.
///
/// This handles many nodes that wait for one head at the same time: each of them would be asked for a
/// second opinion, and has already given it with its report.
#[derive(Clone, Debug)]
pub struct SilenceReports {
    checker: NodeId,
    reporters: BTreeMap<NodeId, ZoneId>,
}

impl SilenceReports {
    /// Creates the reports to the node `checker`, whose own do not count: it probes the head itself.
    pub const fn new(checker: NodeId) -> Self {
        Self {
            checker,
            reporters: BTreeMap::new(),
        }
    }

    /// Returns the silence that a node reports to the checking one: zero, which is no evidence, unless it
    /// has heard of another instance during the later half of the silence, so that its own links work.
    pub fn evidence(silence: Duration, contact_age: Option<Duration>) -> Millis {
        let has_links = contact_age.is_some_and(|age| age < silence / 2);
        if has_links { silence.into() } else { Millis(0) }
    }

    /// Records the report of a node. Returns whether it counts and is new.
    pub fn record(&mut self, node: &NodeId, zone: &ZoneId, silence_ms: Millis) -> bool {
        if silence_ms == Millis(0) || *node == self.checker {
            return false;
        }
        let previous = self.reporters.insert(node.clone(), zone.clone());
        previous.is_none()
    }

    /// Returns whether a member that the checking node has probed without a response is lost by the
    /// reports alone. They count only if another member of the group has responded to that node, since
    /// nodes of one zone may have lost their links to another zone together.
    pub fn confirm_loss(&self, is_other_member_reached: bool) -> bool {
        let zones: BTreeSet<&ZoneId> = self.reporters.values().collect();
        is_other_member_reached && (self.reporters.len() >= MIN_NODES || zones.len() >= MIN_ZONES)
    }

    /// Returns the number of nodes whose reports count.
    pub fn count(&self) -> usize {
        self.reporters.len()
    }
}
