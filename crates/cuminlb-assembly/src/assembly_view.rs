//! The leader's current view of one service: the input of [`Assembler`](crate::Assembler).

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cuminlb_catalog::{EngineSpec, InstanceEntry};
use cuminlb_types::prelude::*;

use crate::GroupView;

/// The instances and groups of one service as the leader sees them now.
#[derive(Clone, Copy, Debug)]
pub struct AssemblyView<'a> {
    /// The capacity and timing of the service's engines.
    pub engine: &'a EngineSpec,
    /// How many instances of a fabric domain are kept as spares.
    pub spares: SparePolicy,
    /// The instances of the service.
    pub instances: &'a BTreeMap<InstanceId, Arc<InstanceEntry>>,
    /// The groups of these instances.
    pub groups: &'a [GroupView],
    /// Instances whose entries were removed although their processes may still run.
    pub unlisted: &'a BTreeSet<InstanceId>,
    /// Zones that must receive no requests.
    pub zones_out: &'a BTreeSet<ZoneId>,
    /// Whether the service has received requests from callers.
    pub is_busy: bool,
}
