//! [`EventKind`].

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{DissolveCause, RequestOutcome};

/// What was decided and why.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[derive(thiserror::Error)]
pub enum EventKind {
    /// The node has started.
    #[error("node started as incarnation {incarnation}")]
    NodeStarted {
        /// Tells this start from earlier ones.
        incarnation: Incarnation,
    },
    /// The node takes no new requests any more.
    #[error("node is draining")]
    NodeDraining,
    /// An operator's configuration was committed through this node.
    #[error("configuration {version} accepted")]
    ConfigAccepted {
        /// The version.
        version: ConfigVersion,
    },
    /// A configuration is in force on this node.
    #[error("configuration {version} in force")]
    ConfigInForce {
        /// The version.
        version: ConfigVersion,
    },
    /// The node took a lease.
    #[error("lease {lease} acquired with fencing number {fencing}")]
    LeaseAcquired {
        /// The lease.
        lease: LeaseName,
        /// The fencing number of this holding.
        fencing: FencingNumber,
    },
    /// The node no longer holds a lease.
    #[error("lease {lease} with fencing number {fencing} lost: {reason}")]
    LeaseLost {
        /// The lease.
        lease: LeaseName,
        /// The fencing number of this holding.
        fencing: FencingNumber,
        /// Why it was lost.
        reason: SmolStr,
    },
    /// The members of a group were claimed in the table.
    #[error("group {group} of {service} formed at epoch {epoch}")]
    GroupFormed {
        /// The service.
        service: ServiceId,
        /// The group.
        group: GroupId,
        /// The epoch.
        epoch: Epoch,
        /// The members, the leader first.
        members: Vec<InstanceId>,
    },
    /// A group serves: every member of the epoch is proved to be up.
    #[error("group {group} serves at epoch {epoch}")]
    GroupServing {
        /// The group.
        group: GroupId,
        /// The epoch.
        epoch: Epoch,
    },
    /// A group was dissolved and its members are free again.
    #[error("group {group} dissolved at epoch {epoch}: {cause}")]
    GroupDissolved {
        /// The group.
        group: GroupId,
        /// The epoch that ended.
        epoch: Epoch,
        /// Why it was dissolved.
        cause: DissolveCause,
    },
    /// A request was sent to a group.
    #[error("request {request} sent to group {group} at epoch {epoch}")]
    RequestSent {
        /// The request.
        request: RequestId,
        /// The group.
        group: GroupId,
        /// The epoch.
        epoch: Epoch,
    },
    /// A request has ended.
    #[error("request {request} of {team} to {service} ended: {outcome} ({reason})")]
    RequestEnded {
        /// The request.
        request: RequestId,
        /// The team.
        team: TeamId,
        /// The service.
        service: ServiceId,
        /// What became of it.
        outcome: RequestOutcome,
        /// Why, in the words of the refusal.
        reason: SmolStr,
    },
}

impl EventKind {
    /// Returns the request that the event is about.
    pub const fn request(&self) -> Option<&RequestId> {
        match self {
            Self::RequestSent { request, .. } | Self::RequestEnded { request, .. } => Some(request),
            _ => None,
        }
    }

    /// Returns the group that the event is about.
    pub const fn group(&self) -> Option<&GroupId> {
        match self {
            Self::GroupFormed { group, .. }
            | Self::GroupServing { group, .. }
            | Self::GroupDissolved { group, .. }
            | Self::RequestSent { group, .. } => Some(group),
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
}
