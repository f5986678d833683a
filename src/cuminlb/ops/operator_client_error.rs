//! [`OperatorClientError`].

use cuminlb_caller::ApplyError;
use smol_str::SmolStr;

/// The reason why a call to a node gave no result.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum OperatorClientError {
    /// No node answered.
    #[error(
        "no node answers at {tried}: {reason}; \
         check --node and that the node runs, or name another node"
    )]
    NoNode {
        /// The addresses that were tried.
        tried: SmolStr,
        /// What the last try reported.
        reason: SmolStr,
    },
    /// The node does not know the token.
    #[error("the node refuses the operator token; set CUMINCTL_TOKEN or --token")]
    BadToken,
    /// The node refused an apply.
    #[error(transparent)]
    Apply(#[from] ApplyError),
    /// The answer of the node can't be read.
    #[error("the answer of the node can't be read: {reason}")]
    Malformed {
        /// What is wrong with it.
        reason: SmolStr,
    },
}
