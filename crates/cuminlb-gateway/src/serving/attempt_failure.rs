//! The failure of one attempt to run a request on an instance.

use cuminlb_catalog::InvalidStatus;
use cuminlb_routing::LinkFailure;
use smol_str::{SmolStr, ToSmolStr};

use super::request_stage::RequestStage;

/// Why an attempt ended without a response for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub(super) enum AttemptFailure {
    /// The instance has not run the request and never will.
    #[error("not run: {reason}")]
    NotRun {
        /// The observed cause.
        reason: SmolStr,
        /// Whether the request reached the instance.
        has_reached_instance: bool,
    },
    /// No connection to the instance could be opened, so the request has not run.
    #[error("not run: {reason}")]
    NotConnected {
        /// The error of the attempt to connect.
        reason: SmolStr,
        /// How the link failed.
        failure: LinkFailure,
    },
    /// The connection was lost before the response began. The request may have run.
    #[error("unknown: {reason}")]
    ConnectionLost {
        /// The error that the connection reported.
        reason: SmolStr,
    },
    /// The request may have run.
    #[error("unknown: {reason}")]
    Unknown {
        /// The observed cause.
        reason: SmolStr,
    },
}

impl AttemptFailure {
    /// Returns whether the request has not run and never will.
    pub(super) const fn is_not_run(&self) -> bool {
        matches!(self, Self::NotRun { .. } | Self::NotConnected { .. })
    }

    /// Returns whether the request has reached the instance, or may have.
    pub(super) const fn has_reached_instance(&self) -> bool {
        match self {
            Self::NotRun {
                has_reached_instance,
                ..
            } => *has_reached_instance,
            Self::NotConnected { .. } => false,
            Self::ConnectionLost { .. } | Self::Unknown { .. } => true,
        }
    }

    /// Returns how far the request had come, if the connection to the instance failed.
    pub(super) const fn stage_of_lost_connection(&self) -> Option<RequestStage> {
        match self {
            Self::NotConnected { .. } => Some(RequestStage::NotSent),
            Self::ConnectionLost { .. } => Some(RequestStage::Waiting),
            Self::NotRun { .. } | Self::Unknown { .. } => None,
        }
    }

    pub(super) fn unknown(reason: impl Into<SmolStr>) -> Self {
        Self::Unknown {
            reason: reason.into(),
        }
    }
}

/// A response whose status answers no request proves nothing, so the request may have run.
impl From<InvalidStatus> for AttemptFailure {
    fn from(error: InvalidStatus) -> Self {
        Self::unknown(error.to_smolstr())
    }
}
