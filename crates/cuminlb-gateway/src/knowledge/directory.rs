//! A snapshot of instances, groups and nodes.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cuminlb_assembly::GroupView;
use cuminlb_catalog::InstanceEntry;
use cuminlb_replica::NodeRow;
use cuminlb_types::prelude::*;
use tokio::time::Instant;

/// The instances, groups and nodes as this node knows them at one point in time.
#[derive(Clone, Debug, Default)]
pub(crate) struct Directory {
    /// The instances of each service.
    pub(crate) services: BTreeMap<ServiceId, BTreeMap<InstanceId, Arc<InstanceEntry>>>,
    /// The groups of each service whose engine forms groups.
    pub(crate) groups: BTreeMap<ServiceId, Vec<GroupView>>,
    /// The availability zones that nothing may be sent to.
    pub(crate) zones_out: BTreeSet<ZoneId>,
    /// The instances whose entries have vanished. Nothing may be sent to them, but they may still
    /// be members of groups.
    pub(crate) unlisted: BTreeSet<InstanceId>,
    /// The instances whose entries vanished in an outage of the store, and until when they are used.
    pub(crate) lapsed: BTreeMap<InstanceId, Instant>,
    /// The instances that are cold, and until when.
    pub(crate) cold_until: BTreeMap<InstanceId, Instant>,
    /// The nodes.
    pub(crate) nodes: Arc<BTreeMap<NodeId, NodeRow>>,
}

impl Directory {
    /// Returns the instances of a service.
    pub(crate) fn instances(&self, service: &ServiceId) -> impl Iterator<Item = &InstanceEntry> {
        self.services
            .get(service)
            .into_iter()
            .flat_map(BTreeMap::values)
            .map(Arc::as_ref)
    }

    /// Returns whether an instance can accept only a few requests because it has just started.
    pub(crate) fn is_cold(&self, id: &InstanceId, now: Instant) -> bool {
        self.cold_until.get(id).is_some_and(|&until| now < until)
    }

    /// Returns whether an instance has an entry, or had one that vanished in an outage of the store
    /// and may still come back.
    pub(crate) fn is_listed(&self, id: &InstanceId, now: Instant) -> bool {
        let has_lapsed = self.lapsed.get(id).is_some_and(|&until| now >= until);
        !has_lapsed && !self.unlisted.contains(id)
    }

    /// Returns an instance of any service.
    pub(crate) fn find_instance(&self, id: &InstanceId) -> Option<&InstanceEntry> {
        let mut services = self.services.values();
        services.find_map(|instances| instances.get(id).map(Arc::as_ref))
    }

    /// Returns a group in an epoch.
    pub(crate) fn find_group(&self, group: &GroupId, epoch: Epoch) -> Option<&GroupView> {
        let mut groups = self.groups.values().flatten();
        groups.find(|view| view.group == *group && view.epoch == epoch)
    }

    /// Returns an instance of a service.
    pub(crate) fn instance(&self, service: &ServiceId, id: &InstanceId) -> Option<&InstanceEntry> {
        self.services.get(service)?.get(id).map(Arc::as_ref)
    }
}
