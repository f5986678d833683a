//! What an [`EventKind`] is about.

use cuminlb_types::prelude::*;

use crate::EventKind;

impl EventKind {
    /// Returns the name of the kind, of which there is a fixed number.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::NodeStarted { .. } => "node_started",
            Self::NodeDraining => "node_draining",
            Self::ConfigAccepted { .. } => "config_accepted",
            Self::ConfigInForce { .. } => "config_in_force",
            Self::StandingChanged { .. } => "standing_changed",
            Self::ZoneTakenOut { .. } => "zone_taken_out",
            Self::ZoneTakenIn { .. } => "zone_taken_in",
            Self::LeaseAcquired { .. } => "lease_acquired",
            Self::LeaseLost { .. } => "lease_lost",
            Self::GroupFormed { .. } => "group_formed",
            Self::GroupServing { .. } => "group_serving",
            Self::GroupStopped { .. } => "group_stopped",
            Self::MemberMissing { .. } => "member_missing",
            Self::GroupDissolved { .. } => "group_dissolved",
            Self::SlotsDenied { .. } => "slots_denied",
            Self::RequestSent { .. } => "request_sent",
            Self::RequestRejected { .. } => "request_rejected",
            Self::RequestEnded { .. } => "request_ended",
        }
    }

    /// Returns the request that the event is about.
    pub const fn request(&self) -> Option<&RequestId> {
        match self {
            Self::RequestSent { request, .. }
            | Self::RequestRejected { request, .. }
            | Self::RequestEnded { request, .. } => Some(request),
            _ => None,
        }
    }

    /// Returns the group that the event is about.
    pub const fn group(&self) -> Option<&GroupId> {
        match self {
            Self::GroupFormed { group, .. }
            | Self::GroupServing { group, .. }
            | Self::GroupStopped { group, .. }
            | Self::MemberMissing { group, .. }
            | Self::GroupDissolved { group, .. }
            | Self::SlotsDenied { group, .. }
            | Self::RequestSent { group, .. } => Some(group),
            _ => None,
        }
    }

    /// Tells whether the event is about a group, or about the lease of its owner.
    pub fn is_about_group(&self, group: &GroupId) -> bool {
        self.group() == Some(group) || self.leased("group/") == Some(group.as_str())
    }

    /// Tells whether the event is about a service, or about the lease of the node that plans it.
    pub fn is_about_service(&self, service: &ServiceId) -> bool {
        self.service() == Some(service) || self.leased("plan/") == Some(service.as_str())
    }

    /// Returns the id in the name of the lease that the event is about; names are `KIND/ID`.
    fn leased(&self, kind: &str) -> Option<&str> {
        match self {
            Self::LeaseAcquired { lease, .. } | Self::LeaseLost { lease, .. } => {
                lease.as_str().strip_prefix(kind)
            }
            _ => None,
        }
    }

    /// Returns the team that the event is about.
    pub const fn team(&self) -> Option<&TeamId> {
        match self {
            Self::RequestEnded { team, .. } => Some(team),
            _ => None,
        }
    }

    /// Returns the service that the event is about.
    pub const fn service(&self) -> Option<&ServiceId> {
        match self {
            Self::GroupFormed { service, .. }
            | Self::GroupServing { service, .. }
            | Self::GroupStopped { service, .. }
            | Self::GroupDissolved { service, .. }
            | Self::SlotsDenied { service, .. }
            | Self::RequestSent { service, .. }
            | Self::RequestEnded { service, .. } => Some(service),
            _ => None,
        }
    }

    /// Returns the availability zone that the event is about, beside that of its node.
    pub const fn target_zone(&self) -> Option<&ZoneId> {
        match self {
            Self::ZoneTakenOut { target, .. } | Self::ZoneTakenIn { target, .. } => Some(target),
            _ => None,
        }
    }
}
