//! The section `security` of the settings file.

use super::Secret;
use crate::check::TableReader;

/// The secrets of a node.
#[derive(Clone, Debug)]
pub struct SecuritySettings {
    /// The token with which a node authenticates to its peers.
    pub peer_token: Secret,
    /// The token with which operators authenticate.
    pub operator_token: Secret,
}

impl SecuritySettings {
    pub(crate) fn read(reader: &mut TableReader<'_>) -> Option<Self> {
        let peer_token = Secret::read(reader, "peer_token");
        let operator_token = Secret::read(reader, "operator_token");
        Some(Self {
            peer_token: peer_token?,
            operator_token: operator_token?,
        })
    }
}
