//! The error of a subcommand and its exit status.

use std::process::ExitCode;

use cuminlb::ops::{ConfigFileError, OperatorClientError};
use cuminlb_caller::ApplyError;
use cuminlb_config::ZoneEditError;
use cuminlb_types::prelude::*;
use smol_str::SmolStr;

/// The reason why a subcommand failed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub(crate) enum CommandError {
    /// No subcommand was given.
    #[error("no command given; see `cuminctl --help`")]
    NoCommand,
    /// An argument of `cuminctl zone` is missing.
    #[error("usage: `cuminctl zone out ZONE` or `cuminctl zone in ZONE`")]
    ZoneUsage,
    /// The environment variable contains an invalid address of a node.
    #[error("`{text}` in CUMINCTL_NODES is not an address; the format is IP:PORT,IP:PORT")]
    BadAddress {
        /// The invalid address.
        text: SmolStr,
    },
    /// A file can't be read or is invalid.
    #[error(transparent)]
    File(#[from] ConfigFileError),
    /// The state of a zone can't be changed.
    #[error(transparent)]
    Zone(#[from] ZoneEditError),
    /// The call to the node failed.
    #[error(transparent)]
    Node(#[from] OperatorClientError),
    /// A configuration was accepted, but some nodes have not confirmed it yet.
    #[error(
        "configuration {version} was accepted but is not confirmed by every node yet; \
         run `cuminctl status` until it is"
    )]
    NotConfirmed {
        /// The version of the accepted configuration.
        version: ConfigVersion,
    },
    /// The fleet is not in the state that the fleet file specifies.
    #[error("not all nodes are ready or not all groups are serving; run `cuminctl timeline`")]
    NotHealthy,
}

impl CommandError {
    /// Returns the exit status. Scripts depend on these values; `docs/OPERATIONS.md` lists them.
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Node(OperatorClientError::Malformed { .. }) => 1,
            Self::NoCommand
            | Self::ZoneUsage
            | Self::BadAddress { .. }
            | Self::File(_)
            | Self::Zone(_) => 2,
            Self::Node(OperatorClientError::Apply(error)) => apply_exit_code(error),
            Self::Node(OperatorClientError::NoAddress | OperatorClientError::NoResponse { .. }) => {
                3
            }
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
