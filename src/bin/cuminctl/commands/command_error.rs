//! [`CommandError`].

use std::process::ExitCode;

use cuminlb::ops::{OperatorClientError, ReadError};
use cuminlb_caller::ApplyError;
use cuminlb_config::ZoneEditError;
use cuminlb_types::prelude::*;
use smol_str::SmolStr;

/// The reason why a subcommand failed, and its exit status.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub(crate) enum CommandError {
    /// No subcommand is named.
    #[error("name a command; see `cuminctl --help`")]
    NoCommand,
    /// `cuminctl zone` needs two words.
    #[error("write `cuminctl zone out ZONE` or `cuminctl zone in ZONE`")]
    ZoneUsage,
    /// The address of a node in the environment can't be read.
    #[error("`{text}` in CUMINCTL_NODES is no address; write IP:PORT,IP:PORT")]
    BadAddress {
        /// What was found.
        text: SmolStr,
    },
    /// A file has mistakes.
    #[error(transparent)]
    File(#[from] ReadError),
    /// The state of a zone can't be changed.
    #[error(transparent)]
    Zone(#[from] ZoneEditError),
    /// The call to the node failed.
    #[error(transparent)]
    Node(#[from] OperatorClientError),
    /// A configuration was accepted, and some nodes have not confirmed it yet.
    #[error(
        "configuration {version} is accepted and not confirmed by every node yet; \
         run `cuminctl status` until it is"
    )]
    NotConfirmed {
        /// The version.
        version: ConfigVersion,
    },
    /// The fleet is not in the state that the fleet file asks for.
    #[error("not every node is ready with every group serving; run `cuminctl timeline`")]
    NotHealthy,
}

impl CommandError {
    /// Returns the exit status, on which scripts can rely; `docs/OPERATIONS.md` lists them.
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Node(OperatorClientError::Malformed { .. }) => 1,
            Self::NoCommand
            | Self::ZoneUsage
            | Self::BadAddress { .. }
            | Self::File(_)
            | Self::Zone(_) => 2,
            Self::Node(OperatorClientError::Apply(error)) => apply_exit_code(error),
            Self::Node(OperatorClientError::NoAddress | OperatorClientError::NoNode { .. }) => 3,
            Self::Node(OperatorClientError::BadToken) => 4,
            Self::NotConfirmed { .. } => 8,
            Self::NotHealthy => 9,
        })
    }
}

const fn apply_exit_code(error: &ApplyError) -> u8 {
    match error {
        ApplyError::Invalid { .. } => 2,
        ApplyError::Conflict { .. } => 5,
        ApplyError::NotReached { .. } => 6,
        ApplyError::Unknown { .. } => 7,
    }
}
