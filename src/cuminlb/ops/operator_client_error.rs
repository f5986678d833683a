//! The error of a call to the operator API.

use cuminlb_caller::ApplyError;
use smol_str::SmolStr;

/// The reason why a call to the operator API failed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum OperatorClientError {
    /// No address of a node was given.
    #[error(
        "no node address given; pass the operator address of one or more nodes \
         with --node IP:PORT or CUMINCTL_NODES=IP:PORT,IP:PORT"
    )]
    NoAddress,
    /// No node responded with success.
    #[error(
        "no node responded successfully:{attempts}\n\
         check that the nodes are running and that these are their operator addresses, \
         or pass other addresses"
    )]
    NoResponse {
        /// The addresses that were tried, each on a line of its own with its error.
        attempts: SmolStr,
    },
    /// The node rejected the operator token.
    #[error("the node rejected the operator token; set CUMINCTL_TOKEN or pass --token")]
    BadToken,
    /// An apply was not accepted, or it is unknown whether it was.
    #[error(transparent)]
    Apply(#[from] ApplyError),
    /// The response of the node can't be parsed.
    #[error(
        "can't parse the response of the node: {reason}; \
         use the version of cuminctl that matches the nodes"
    )]
    Malformed {
        /// The error that the parser reported.
        reason: SmolStr,
    },
}
