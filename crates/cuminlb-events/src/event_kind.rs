//! [`EventKind`].

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{DenialCause, DissolveCause, RequestOutcome};

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
    /// The node may act on its configuration from now on, or may no longer do so.
    #[error("node {}: {reason}", if *.acts { "takes new work" } else { "takes no new work" })]
    StandingChanged {
        /// Whether the node takes new work.
        acts: bool,
        /// Why.
        reason: SmolStr,
    },
    /// A configuration took an availability zone out of service.
    #[error("zone {target} taken out by configuration {version}")]
    ZoneTakenOut {
        /// The availability zone.
        target: ZoneId,
        /// The configuration.
        version: ConfigVersion,
    },
    /// A configuration brought an availability zone back.
    #[error("zone {target} taken in by configuration {version}")]
    ZoneTakenIn {
        /// The availability zone.
        target: ZoneId,
        /// The configuration.
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
    #[error("group {group} of {service} serves at epoch {epoch}")]
    GroupServing {
        /// The service.
        service: ServiceId,
        /// The group.
        group: GroupId,
        /// The epoch.
        epoch: Epoch,
    },
    /// A group stopped serving: the proof of a member or the lease has gone stale.
    #[error("group {group} of {service} stopped serving at epoch {epoch}: {reason}")]
    GroupStopped {
        /// The service.
        service: ServiceId,
        /// The group.
        group: GroupId,
        /// The epoch.
        epoch: Epoch,
        /// Why.
        reason: SmolStr,
    },
    /// A member of a group gives no proof any more that it is up.
    #[error("member {instance} of group {group} is missing at epoch {epoch}")]
    MemberMissing {
        /// The group.
        group: GroupId,
        /// The epoch.
        epoch: Epoch,
        /// The member.
        instance: InstanceId,
    },
    /// A group was dissolved and its members are free again.
    #[error("group {group} of {service} dissolved at epoch {epoch}: {cause}")]
    GroupDissolved {
        /// The service.
        service: ServiceId,
        /// The group.
        group: GroupId,
        /// The epoch that ended.
        epoch: Epoch,
        /// Why it was dissolved.
        cause: DissolveCause,
    },
    /// Groups granted no slot; equal denials are gathered.
    #[error("group {group} of {service} denied {count} slots within {over_ms}: {cause}")]
    SlotsDenied {
        /// The service.
        service: ServiceId,
        /// The group.
        group: GroupId,
        /// Why.
        cause: DenialCause,
        /// The number of denials.
        count: u64,
        /// The time over which they were gathered.
        over_ms: Millis,
    },
    /// A request was sent to a group.
    #[error("request {request} to {service} sent to group {group} at epoch {epoch}, try {attempt}")]
    RequestSent {
        /// The request.
        request: RequestId,
        /// The service.
        service: ServiceId,
        /// Counts the tries of the request from 1.
        attempt: u32,
        /// The group.
        group: GroupId,
        /// The epoch.
        epoch: Epoch,
    },
    /// A request was refused before its team and its service were known.
    #[error("request {request} rejected: {code} ({reason})")]
    RequestRejected {
        /// The request.
        request: RequestId,
        /// The code of the refusal.
        code: SmolStr,
        /// Why, in the words of the refusal.
        reason: SmolStr,
    },
    /// A request has ended.
    #[error("request {request} of {team} to {service} ended: {outcome}, {code} ({reason})")]
    RequestEnded {
        /// The request.
        request: RequestId,
        /// The team.
        team: TeamId,
        /// The service.
        service: ServiceId,
        /// What became of it.
        outcome: RequestOutcome,
        /// The code of the refusal; `ok` for an answer.
        code: SmolStr,
        /// Why, in the words of the refusal.
        reason: SmolStr,
    },
}
