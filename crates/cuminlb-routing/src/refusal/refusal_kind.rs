//! The reasons for refusals, with their HTTP status and error codes.

use cuminlb_types::prelude::*;
use smol_str::SmolStr;

use crate::crashes::CrashCause;

/// The reason for a refusal.
#[derive(Clone, Debug, PartialEq)]
#[derive(thiserror::Error)]
pub enum RefusalKind {
    /// The caller presented no API key of a team.
    #[error("no team has this API key; send `Authorization: Bearer KEY`")]
    Unauthenticated,
    /// No service has this model or path.
    #[error("no service is called `{name}`")]
    UnknownService {
        /// The requested model or path.
        name: SmolStr,
    },
    /// The request is malformed.
    #[error("field `{field}` is not valid: {reason}")]
    BadRequest {
        /// The field.
        field: &'static str,
        /// What is wrong with the field.
        reason: SmolStr,
    },
    /// The body is larger than allowed.
    #[error("the body is larger than {max_bytes}")]
    BodyTooLarge {
        /// The maximum body size.
        max_bytes: ByteCount,
    },
    /// This node holds too many long bodies.
    #[error("this node holds too many long bodies; send the request again")]
    BodiesHeld,
    /// The caller took too long to send its request.
    #[error("the request did not arrive within {timeout_ms}")]
    ReceiveTimeout {
        /// The time limit.
        timeout_ms: Millis,
    },
    /// The team exceeds its rate limit.
    #[error("team {team} sends faster than its rate of {rate}")]
    RateExceeded {
        /// The team.
        team: TeamId,
        /// This node's share of the rate of the team.
        rate: RequestsPerSecond,
    },
    /// The queue of the service is full.
    #[error("too many requests wait for service {service}")]
    QueueFull {
        /// The service.
        service: ServiceId,
    },
    /// The expected wait exceeds the deadline of the request.
    #[error("service {service} is expected to take {expected_ms}, which is too late")]
    DeadlineTooClose {
        /// The service.
        service: ServiceId,
        /// The expected waiting time.
        expected_ms: Millis,
    },
    /// No slot became free in time.
    #[error("no group of service {service} had a free slot within {waited_ms}")]
    NoSlot {
        /// The service.
        service: ServiceId,
        /// How long the request waited.
        waited_ms: Millis,
    },
    /// More requests than the groups of the service can begin in time are in flight.
    #[error("service {service} has more requests than it can begin in time")]
    Overloaded {
        /// The service.
        service: ServiceId,
    },
    /// No group of the service is serving.
    #[error("no group of service {service} serves at present")]
    NoGroup {
        /// The service.
        service: ServiceId,
    },
    /// The upstream sent no complete response.
    #[error("the upstream gave no whole answer: {reason}")]
    UpstreamFailed {
        /// The error of the upstream.
        reason: SmolStr,
    },
    /// The request's claim could not be written.
    #[error("the claim that keeps this request from running twice could not be written")]
    ClaimUnavailable,
    /// Another request with the same idempotency key is in flight.
    #[error("a request with the same idempotency key is running")]
    ClaimedElsewhere,
    /// An earlier request with the same idempotency key was sent, and its outcome is unknown.
    #[error("an earlier request with the same idempotency key was sent and its result is unknown")]
    OutcomeUnknown,
    /// The idempotency key was used for a request with another method, path or body.
    #[error("the idempotency key was used before with another body, method or path")]
    KeyReused,
    /// An earlier request with the same idempotency key got a response that was too long to record.
    #[error("outcome recorded, body not kept: status {status}, {len_bytes}")]
    OutcomeNotKept {
        /// The HTTP status of the response.
        status: u16,
        /// The length of the response body.
        len_bytes: ByteCount,
    },
    /// The request has reached its time limit.
    #[error("the request did not end within {timeout_ms}")]
    DeadlineExceeded {
        /// The time limit.
        timeout_ms: Millis,
    },
    /// The headers are larger than allowed.
    #[error("the headers are larger than {max_bytes}")]
    HeadersTooLarge {
        /// The maximum size of the headers.
        max_bytes: ByteCount,
    },
    /// The node is shutting down.
    #[error("this node is shutting down; send the request again")]
    Draining,
    /// The node can't confirm that its configuration is the active one.
    #[error("this node can't confirm its configuration; send the request again")]
    ConfigUnconfirmed,
    /// The request is quarantined, because groups crashed while they ran it.
    #[error("this request is quarantined as {fingerprint}: upstreams crashed while they ran it")]
    Quarantined {
        /// The fingerprint by which operators release the request.
        fingerprint: RequestFingerprint,
    },
    /// The request contains what crashed several instances that responded to it.
    #[error("instances crashed while they responded to {cause}, so the request is not sent")]
    CrashSuspected {
        /// What crashes instances.
        cause: CrashCause,
    },
}

impl RefusalKind {
    /// Returns the HTTP status code of the refusal.
    pub const fn status(&self) -> u16 {
        match self {
            Self::Unauthenticated => 401,
            Self::UnknownService { .. } => 404,
            Self::BadRequest { .. } => 400,
            Self::BodyTooLarge { .. } => 413,
            Self::ReceiveTimeout { .. } => 408,
            Self::RateExceeded { .. } => 429,
            Self::HeadersTooLarge { .. } => 431,
            Self::ClaimedElsewhere | Self::OutcomeUnknown | Self::OutcomeNotKept { .. } => 409,
            Self::Quarantined { .. } | Self::KeyReused => 422,
            Self::DeadlineExceeded { .. } => 504,
            Self::UpstreamFailed { .. } => 502,
            Self::QueueFull { .. }
            | Self::DeadlineTooClose { .. }
            | Self::NoSlot { .. }
            | Self::Overloaded { .. }
            | Self::NoGroup { .. }
            | Self::ClaimUnavailable
            | Self::BodiesHeld
            | Self::Draining
            | Self::ConfigUnconfirmed
            | Self::CrashSuspected { .. } => 503,
        }
    }

    /// Returns the error code that programs match on.
    pub const fn code(&self) -> &'static str {
        match self {
            Self::Unauthenticated => "unauthenticated",
            Self::UnknownService { .. } => "unknown_service",
            Self::BadRequest { .. } => "bad_request",
            Self::BodyTooLarge { .. } => "body_too_large",
            Self::BodiesHeld => "bodies_held",
            Self::ReceiveTimeout { .. } => "receive_timeout",
            Self::RateExceeded { .. } => "rate_exceeded",
            Self::QueueFull { .. } => "queue_full",
            Self::DeadlineTooClose { .. } => "deadline_too_close",
            Self::NoSlot { .. } => "no_slot",
            Self::Overloaded { .. } => "overloaded",
            Self::NoGroup { .. } => "no_group",
            Self::UpstreamFailed { .. } => "upstream_failed",
            Self::ClaimUnavailable => "claim_unavailable",
            Self::ClaimedElsewhere => "claimed_elsewhere",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::KeyReused => "key_reused",
            Self::OutcomeNotKept { .. } => "outcome_not_kept",
            Self::DeadlineExceeded { .. } => "deadline_exceeded",
            Self::HeadersTooLarge { .. } => "headers_too_large",
            Self::Draining => "draining",
            Self::ConfigUnconfirmed => "config_unconfirmed",
            Self::Quarantined { .. } => "quarantined",
            Self::CrashSuspected { .. } => "crash_suspected",
        }
    }
}
