//! The name of an [`EventKind`], and the entities that it is about.

use cuminlb_types::prelude::*;

use crate::EventKind;

impl EventKind {
    /// Returns the name of the kind, which is one of a fixed set.
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
            Self::GroupCrashed { .. } => "group_crashed",
            Self::GroupDissolved { .. } => "group_dissolved",
            Self::SlotsDenied { .. } => "slots_denied",
            Self::RequestSent { .. } => "request_sent",
            Self::RequestRejected { .. } => "request_rejected",
            Self::RequestEnded { .. } => "request_ended",
        }
    }

    /// Returns whether events of this kind occur for every request, rather than rarely.
    pub const fn is_per_request(&self) -> bool {
        matches!(
            self,
            Self::RequestSent { .. } | Self::RequestRejected { .. } | Self::RequestEnded { .. }
        )
    }

    /// Returns the request that the event is about.
    pub const fn request(&self) -> Option<&RequestId> {
        match self {
            Self::GroupCrashed { request, .. }
            | Self::RequestSent { request, .. }
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
            | Self::GroupCrashed { group, .. }
            | Self::GroupDissolved { group, .. }
            | Self::SlotsDenied { group, .. }
            | Self::RequestSent { group, .. } => Some(group),
            _ => None,
        }
    }

    /// Returns whether the event is about a group or the lease of its owner.
    pub fn is_about_group(&self, group: &GroupId) -> bool {
        self.group() == Some(group) || self.lease_subject("group/") == Some(group.as_str())
    }

    /// Returns whether the event is about a service or the lease of the node that plans it.
    pub fn is_about_service(&self, service: &ServiceId) -> bool {
        self.service() == Some(service) || self.lease_subject("plan/") == Some(service.as_str())
    }

    /// Returns the id in the name of the lease that the event is about, if that name starts with
    /// `prefix`. Lease names have the form `KIND/ID`.
    fn lease_subject(&self, prefix: &str) -> Option<&str> {
        match self {
            Self::LeaseAcquired { lease, .. } | Self::LeaseLost { lease, .. } => {
                lease.as_str().strip_prefix(prefix)
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
            | Self::GroupCrashed { service, .. }
            | Self::GroupDissolved { service, .. }
            | Self::SlotsDenied { service, .. }
            | Self::RequestSent { service, .. }
            | Self::RequestEnded { service, .. } => Some(service),
            _ => None,
        }
    }

    /// Returns the availability zone that the event is about, as opposed to that of its node.
    pub const fn target_zone(&self) -> Option<&ZoneId> {
        match self {
            Self::ZoneTakenOut { target, .. } | Self::ZoneTakenIn { target, .. } => Some(target),
            _ => None,
        }
    }
}
