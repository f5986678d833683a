//! [`content_digest`].

use cuminlb_types::prelude::*;
use sha2::{Digest, Sha256};

/// Returns the digest of what a request asks for.
///
/// # Panics
///
/// Never: hexadecimal digits form a valid id.
#[expect(clippy::expect_used, reason = "hexadecimal digits form a valid id")]
pub fn content_digest(method: &str, path: &str, body: &[u8]) -> ContentDigest {
    let mut digest = Sha256::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        digest.update(part.len().to_be_bytes());
        digest.update(part);
    }
    let hash: [u8; 32] = digest.finalize().into();
    let hex: String = hash.iter().map(|byte| format!("{byte:02x}")).collect();
    hex.parse().expect("hexadecimal digits form an id")
}
