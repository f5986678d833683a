//! Where one attempt was sent.

use cuminlb_types::prelude::*;

/// The place of one attempt on the connection that it was sent on, for the log.
#[derive(Clone, Debug)]
pub(crate) struct ExchangePlace {
    /// The connection to the instance, or to the node that forwards the request.
    pub(crate) connection: ConnectionNumber,
    /// The number of the request among those of the connection, from 1.
    pub(crate) exchange: usize,
    /// The node that forwards the request.
    pub(crate) node: Option<NodeId>,
}
