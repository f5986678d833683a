//! The key by which requests with a common prefix are sent to the same group.

use std::fmt;

use xxhash_rust::xxh3::xxh3_64;

/// The length of the prefix that determines the affinity of a request.
const PREFIX_LEN_BYTES: usize = 512;

/// A hash of the first bytes of a request; requests with the same prefix benefit from the same
/// cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PrefixKey(u64);

impl PrefixKey {
    /// Returns the key of a request body.
    pub fn from_body(body: &[u8]) -> Self {
        let prefix = body.get(..PREFIX_LEN_BYTES).unwrap_or(body);
        Self(xxh3_64(prefix))
    }
}

impl fmt::Display for PrefixKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
