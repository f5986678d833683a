//! [`RefusalKind`].

use cuminlb_types::prelude::*;
use smol_str::SmolStr;

/// The reason of a refusal.
#[derive(Clone, Debug, PartialEq)]
#[derive(thiserror::Error)]
pub enum RefusalKind {
    /// The caller shows no key of a team.
    #[error("no team has this API key; send `Authorization: Bearer KEY`")]
    Unauthenticated,
    /// No service has this model or path.
    #[error("no service is called `{name}`")]
    UnknownService {
        /// The model or the path that was asked for.
        name: SmolStr,
    },
    /// The request can't be read.
    #[error("field `{field}` is not valid: {reason}")]
    BadRequest {
        /// The field.
        field: &'static str,
        /// What is wrong with it.
        reason: SmolStr,
    },
    /// The body is larger than allowed.
    #[error("the body is larger than {max_bytes}")]
    BodyTooLarge {
        /// The bound.
        max_bytes: ByteCount,
    },
    /// The caller took too long to send its request.
    #[error("the request did not arrive within {timeout_ms}")]
    ReceiveTimeout {
        /// The bound.
        timeout_ms: Millis,
    },
    /// The team sends faster than its rate.
    #[error("team {team} sends faster than its rate of {rate}")]
    RateExceeded {
        /// The team.
        team: TeamId,
        /// The rate of the team on this node.
        rate: RequestsPerSecond,
    },
    /// Too many requests wait already.
    #[error("too many requests wait for service {service}")]
    QueueFull {
        /// The service.
        service: ServiceId,
    },
    /// No slot came free in time.
    #[error("no group of service {service} had a free slot within {waited_ms}")]
    NoSlot {
        /// The service.
        service: ServiceId,
        /// The time that was waited.
        waited_ms: Millis,
    },
    /// No group of the service serves.
    #[error("no group of service {service} serves at present")]
    NoGroup {
        /// The service.
        service: ServiceId,
    },
    /// The upstream gave no whole answer.
    #[error("the upstream gave no whole answer: {reason}")]
    UpstreamFailed {
        /// What went wrong.
        reason: SmolStr,
    },
    /// The request's claim could not be written.
    #[error("the claim that keeps this request from running twice could not be written")]
    ClaimUnavailable,
    /// Another request with the same idempotency key is on its way.
    #[error("a request with the same idempotency key is running")]
    ClaimedElsewhere,
    /// An earlier request with the same key was sent, and its result is not known.
    #[error("an earlier request with the same idempotency key was sent and its result is unknown")]
    OutcomeUnknown,
    /// The idempotency key was used for a request that asked for something else.
    #[error("the idempotency key was used before with another body, method or path")]
    KeyReused,
    /// An earlier request with the same key was answered, but the answer was too long to keep.
    #[error("outcome recorded, body not kept: status {status}, {len_bytes}")]
    OutcomeNotKept {
        /// The HTTP status of the answer.
        status: u16,
        /// The length of the body.
        len_bytes: ByteCount,
    },
    /// The time that the request may take is over.
    #[error("the request did not end within {timeout_ms}")]
    DeadlineExceeded {
        /// The bound.
        timeout_ms: Millis,
    },
    /// The headers are larger than allowed.
    #[error("the headers are larger than {max_bytes}")]
    HeadersTooLarge {
        /// The bound.
        max_bytes: ByteCount,
    },
    /// The node is shutting down.
    #[error("this node is shutting down; send the request again")]
    Draining,
    /// The node can't prove that its configuration is the one in force.
    #[error("this node can't confirm its configuration; send the request again")]
    ConfigUnconfirmed,
    /// The request crashes what runs it.
    #[error("this request is quarantined as {fingerprint}: upstreams crashed while they ran it")]
    Quarantined {
        /// The request, as operators release it.
        fingerprint: RequestFingerprint,
    },
}

impl RefusalKind {
    /// Returns the HTTP status code that says this best.
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
            | Self::NoSlot { .. }
            | Self::NoGroup { .. }
            | Self::ClaimUnavailable
            | Self::Draining
            | Self::ConfigUnconfirmed => 503,
        }
    }

    /// Returns the word that programs match on.
    pub const fn code(&self) -> &'static str {
        match self {
            Self::Unauthenticated => "unauthenticated",
            Self::UnknownService { .. } => "unknown_service",
            Self::BadRequest { .. } => "bad_request",
            Self::BodyTooLarge { .. } => "body_too_large",
            Self::ReceiveTimeout { .. } => "receive_timeout",
            Self::RateExceeded { .. } => "rate_exceeded",
            Self::QueueFull { .. } => "queue_full",
            Self::NoSlot { .. } => "no_slot",
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
        }
    }
}
