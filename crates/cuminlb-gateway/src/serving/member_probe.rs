//! The probe of a group member.

use cuminlb_catalog::{InstanceEntry, InstanceReport};
use cuminlb_routing::{LinkFailure, LinkRoute};

/// The probe of a group member by this node.
#[derive(Debug)]
pub(super) struct MemberProbe<'a> {
    pub(super) entry: &'a InstanceEntry,
    /// The way to the member. It is probed only if this node has a link to it.
    pub(super) route: LinkRoute,
    pub(super) result: Result<InstanceReport, LinkFailure>,
}
