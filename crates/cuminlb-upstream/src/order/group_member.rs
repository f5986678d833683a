//! [`GroupMember`].

use std::net::SocketAddr;

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// One member of a group and where it listens.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GroupMember {
    /// The instance.
    pub instance: InstanceId,
    /// Where the instance listens.
    pub address: SocketAddr,
}
