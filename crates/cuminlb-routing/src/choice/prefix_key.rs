//! [`PrefixKey`].

use std::fmt;

use xxhash_rust::xxh3::xxh3_64;

/// The length of the first part of a request that decides its affinity.
const PREFIX_LEN_BYTES: usize = 512;

/// Names the first part of a request: requests that share it profit from the same cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PrefixKey(u64);

impl PrefixKey {
    /// Returns the key of a body.
    pub fn of_body(body: &[u8]) -> Self {
        let prefix = body.get(..PREFIX_LEN_BYTES).unwrap_or(body);
        Self(xxh3_64(prefix))
    }
}

impl fmt::Display for PrefixKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
