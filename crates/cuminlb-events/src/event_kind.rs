//! The kinds of events. Operators filter the timeline by their texts.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{DenialCause, DissolveCause, RequestOutcome};

/// The kind of an event, with what was decided and why.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[derive(thiserror::Error)]
pub enum EventKind {
    /// The node has started.
    #[error("node started as incarnation {incarnation}")]
    NodeStarted {
        /// Distinguishes this start from earlier ones.
        incarnation: Incarnation,
    },
    /// The node no longer accepts new requests.
    #[error("node is draining")]
    NodeDraining,
    /// An operator's configuration was committed through this node.
    #[error("configuration {version} accepted")]
    ConfigAccepted {
        /// The version.
        version: ConfigVersion,
    },
    /// A configuration became active on this node.
    #[error("configuration {version} in force")]
    ConfigInForce {
        /// The version.
        version: ConfigVersion,
    },
    /// The node is now allowed to act on its configuration, or no longer is.
    #[error("node {}: {reason}", if *.acts { "takes new work" } else { "takes no new work" })]
    StandingChanged {
        /// Whether the node accepts new work.
        acts: bool,
        /// The reason for the change.
        reason: SmolStr,
    },
    /// A configuration took an availability zone out of service.
    #[error("zone {target} taken out by configuration {version}")]
    ZoneTakenOut {
        /// The availability zone.
        target: ZoneId,
        /// The version of the configuration.
        version: ConfigVersion,
    },
    /// A configuration returned an availability zone to service.
    #[error("zone {target} taken in by configuration {version}")]
    ZoneTakenIn {
        /// The availability zone.
        target: ZoneId,
        /// The version of the configuration.
        version: ConfigVersion,
    },
    /// The node acquired a lease.
    #[error("lease {lease} acquired with fencing number {fencing}")]
    LeaseAcquired {
        /// The lease.
        lease: LeaseName,
        /// The fencing number of this acquisition.
        fencing: FencingNumber,
    },
    /// The node no longer holds a lease.
    #[error("lease {lease} with fencing number {fencing} lost: {reason}")]
    LeaseLost {
        /// The lease.
        lease: LeaseName,
        /// The fencing number of this acquisition.
        fencing: FencingNumber,
        /// Why the lease was lost.
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
    /// A group serves: there is proof that every member of the epoch is up.
    #[error("group {group} of {service} serves at epoch {epoch}")]
    GroupServing {
        /// The service.
        service: ServiceId,
        /// The group.
        group: GroupId,
        /// The epoch.
        epoch: Epoch,
    },
    /// A group stopped serving: the proof of a member or the lease has become stale.
    #[error("group {group} of {service} stopped serving at epoch {epoch}: {reason}")]
    GroupStopped {
        /// The service.
        service: ServiceId,
        /// The group.
        group: GroupId,
        /// The epoch.
        epoch: Epoch,
        /// Why the group stopped serving.
        reason: SmolStr,
    },
    /// A member of a group no longer sends proof that it is up.
    #[error("member {instance} of group {group} is missing at epoch {epoch}")]
    MemberMissing {
        /// The group.
        group: GroupId,
        /// The epoch.
        epoch: Epoch,
        /// The member.
        instance: InstanceId,
    },
    /// A group crashed while it ran a request.
    #[error(
        "group {group} of {service} crashed at epoch {epoch} with request {request} ({fingerprint})"
    )]
    GroupCrashed {
        /// The service.
        service: ServiceId,
        /// The group.
        group: GroupId,
        /// The epoch.
        epoch: Epoch,
        /// The request, which is not necessarily the cause of the crash.
        request: RequestId,
        /// The fingerprint, which retries of the request have in common.
        fingerprint: RequestFingerprint,
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
        /// Why the group was dissolved.
        cause: DissolveCause,
    },
    /// A group granted no slots; denials of the same group and cause are aggregated.
    #[error("group {group} of {service} denied {count} slots within {over_ms}: {cause}")]
    SlotsDenied {
        /// The service.
        service: ServiceId,
        /// The group.
        group: GroupId,
        /// Why the slots were denied.
        cause: DenialCause,
        /// The number of denials.
        count: u64,
        /// The time over which they were aggregated.
        over_ms: Millis,
    },
    /// A request was sent to a group.
    #[error("request {request} to {service} sent to group {group} at epoch {epoch}, try {attempt}")]
    RequestSent {
        /// The request.
        request: RequestId,
        /// The service.
        service: ServiceId,
        /// The number of the attempt, starting at 1.
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
        /// The reason, as stated in the refusal.
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
        /// The outcome of the request.
        outcome: RequestOutcome,
        /// The code of the refusal; `ok` for a response.
        code: SmolStr,
        /// The reason, as stated in the refusal.
        reason: SmolStr,
    },
}
