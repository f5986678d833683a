//! [`OperatorClientError`].

use cuminlb_caller::ApplyError;
use smol_str::SmolStr;

/// The reason why a call to a node gave no result.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum OperatorClientError {
    /// No address of a node was given.
    #[error(
        "no node is named; give the operator address of a node, or several, \
         by --node IP:PORT or CUMINCTL_NODES=IP:PORT,IP:PORT"
    )]
    NoAddress,
    /// No node answered.
    #[error(
        "no node answers:{tried}\n\
         check that the nodes run and that these are their operator ports, or name other nodes"
    )]
    NoNode {
        /// The addresses that were tried, each with what it reported.
        tried: SmolStr,
    },
    /// The node does not know the token.
    #[error("the node refuses the operator token; set CUMINCTL_TOKEN or --token")]
    BadToken,
    /// The node refused an apply.
    #[error(transparent)]
    Apply(#[from] ApplyError),
    /// The answer of the node can't be read.
    #[error(
        "the answer of the node can't be read: {reason}; \
         use the cuminctl that came with the nodes' version"
    )]
    Malformed {
        /// What is wrong with it.
        reason: SmolStr,
    },
}
