//! The shared snapshot of the fleet: configuration, rosters and instances.

use std::collections::BTreeMap;
use std::sync::Arc;

use cuminlb_config::{FleetSpec, ServiceSpec};
use cuminlb_fleet::rows::GroupRecord;
use cuminlb_platform::{InstanceListing, InstanceRecord};
use cuminlb_types::prelude::*;

use super::{ActiveConfig, CurrentRoster, ListedNodes};

/// A snapshot of what a node knows of the fleet, shared by its readers.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// The configuration in effect; `None` until one has been read.
    pub config: Option<Arc<ActiveConfig>>,
    /// The groups of each service.
    pub rosters: BTreeMap<ServiceId, Arc<CurrentRoster>>,
    /// The platform's list of instances.
    pub listing: Arc<InstanceListing>,
}

impl FleetView {
    /// Returns the version of the configuration in effect, 0 before the first.
    pub fn config_version(&self) -> ConfigVersion {
        self.config
            .as_ref()
            .map_or(ConfigVersion(0), |config| config.version)
    }

    /// Returns the fleet file in effect; `None` before the first.
    pub fn spec(&self) -> Option<&FleetSpec> {
        self.config.as_ref().map(|config| &config.spec)
    }

    /// Returns a service of the fleet file in effect.
    pub fn service(&self, id: &ServiceId) -> Option<&ServiceSpec> {
        self.spec()?.service(id)
    }

    /// Returns the groups of a service; none while its roster is not known.
    pub fn groups(&self, service: &ServiceId) -> &[GroupRecord] {
        self.rosters
            .get(service)
            .map_or(&[], |roster| &roster.roster.groups)
    }

    /// Returns one group of a service.
    pub fn group(&self, service: &ServiceId, group: &GroupId) -> Option<&GroupRecord> {
        self.groups(service)
            .iter()
            .find(|record| record.id == *group)
    }

    /// Returns the platform's record of an instance.
    pub fn instance(&self, id: &InstanceId) -> Option<&InstanceRecord> {
        self.listing
            .instances
            .iter()
            .find(|record| record.id == *id)
    }

    /// Returns the live nodes in the platform's list.
    pub fn nodes(&self) -> ListedNodes<'_> {
        ListedNodes::new(&self.listing)
    }
}
