//! [`AssemblyView`].

use std::collections::{BTreeMap, BTreeSet};

use cuminlb_catalog::{EngineSpec, InstanceEntry};
use cuminlb_types::prelude::*;

use crate::GroupView;

/// What a leader sees of one service.
#[derive(Clone, Copy, Debug)]
pub struct AssemblyView<'a> {
    /// How the service's engines work.
    pub engine: &'a EngineSpec,
    /// The instances of the service.
    pub instances: &'a BTreeMap<InstanceId, InstanceEntry>,
    /// Their groups.
    pub groups: &'a [GroupView],
    /// Instances whose entries have vanished though they may live.
    pub unlisted: &'a BTreeSet<InstanceId>,
    /// Zones to which nothing may be sent.
    pub zones_out: &'a BTreeSet<ZoneId>,
    /// Whether callers have come.
    pub is_busy: bool,
}
