//! A large value that was announced and has not arrived.

use cuminlb_peer::ChunkList;
use cuminlb_types::prelude::*;

/// A large value that a peer has announced.
#[derive(Clone, Debug)]
pub(crate) struct Announcement {
    pub(crate) version: StoreVersion,
    pub(crate) list: ChunkList,
    pub(crate) announced_by: NodeId,
}
