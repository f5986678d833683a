//! The section `machine` of the settings file of a gateway node.

use cuminlb_types::prelude::*;

use crate::check::TableReader;

/// What the machine of a node can bear. Zero means unknown.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MachineSettings {
    /// The bandwidth of the network link.
    pub link_mbps: LinkRate,
    /// The share of a processor core.
    pub cpu_cores: CoreShare,
}

impl MachineSettings {
    pub(crate) fn read(reader: &mut TableReader<'_>) -> Self {
        Self {
            link_mbps: reader.optional("link_mbps").unwrap_or_default(),
            cpu_cores: reader.optional("cpu_cores").unwrap_or_default(),
        }
    }
}
