//! The section `security` of the settings file.

use std::fmt;

use smol_str::SmolStr;

use crate::check::TableReader;

/// The minimum length of a token.
const MIN_TOKEN_LEN_BYTES: usize = 16;

/// The secrets of a node. The `Debug` output contains none of them.
#[derive(Clone)]
pub struct SecuritySettings {
    /// The token with which a node authenticates to its peers.
    pub peer_token: SmolStr,
    /// The token with which operators authenticate.
    pub operator_token: SmolStr,
}

impl SecuritySettings {
    pub(crate) fn read(reader: &mut TableReader<'_>) -> Option<Self> {
        let peer_token = read_token(reader, "peer_token");
        let operator_token = read_token(reader, "operator_token");
        Some(Self {
            peer_token: peer_token?,
            operator_token: operator_token?,
        })
    }
}

impl fmt::Debug for SecuritySettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SecuritySettings").finish_non_exhaustive()
    }
}

/// Reads a token. A problem with its length reports only the length, since the value is secret.
fn read_token(reader: &mut TableReader<'_>, key: &str) -> Option<SmolStr> {
    let token: SmolStr = reader
        .required::<String>(key, "give a secret of 16 bytes or more")?
        .into();
    if token.len() < MIN_TOKEN_LEN_BYTES {
        let len_text = format!("{} bytes", token.len());
        reader.reject(
            key,
            len_text,
            format!("must have at least {MIN_TOKEN_LEN_BYTES} bytes"),
        );
        return None;
    }
    Some(token)
}
