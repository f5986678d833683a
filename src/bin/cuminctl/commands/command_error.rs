//! [`CommandError`].

use std::process::ExitCode;

use cuminlb::ops::{OperatorClientError, ReadError};
use cuminlb_caller::ApplyError;

/// The reason why a subcommand failed, and its exit status.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub(crate) enum CommandError {
    /// The command line is wrong.
    #[error("the command line is wrong; see `cuminctl --help`")]
    Usage,
    /// A file has mistakes.
    #[error(transparent)]
    File(#[from] ReadError),
    /// The call to the node failed.
    #[error(transparent)]
    Node(#[from] OperatorClientError),
}

impl CommandError {
    /// Returns the exit status, on which scripts can rely.
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Usage | Self::File(_) => 2,
            Self::Node(OperatorClientError::NoNode { .. }) => 3,
            Self::Node(OperatorClientError::BadToken) => 4,
            Self::Node(OperatorClientError::Apply(ApplyError::Conflict { .. })) => 5,
            Self::Node(OperatorClientError::Apply(ApplyError::Invalid { .. })) => 2,
            Self::Node(OperatorClientError::Apply(ApplyError::NotReached { .. })) => 6,
            Self::Node(OperatorClientError::Apply(ApplyError::Unknown { .. })) => 7,
            Self::Node(OperatorClientError::Malformed { .. }) => 1,
        })
    }
}
