//! The digest by which a duplicate request is checked to have the same content.

use cuminlb_types::prelude::*;
use sha2::{Digest, Sha256};

/// Returns the SHA-256 digest of a request's method, path and body, each preceded by its length.
///
/// # Panics
///
/// Never panics: hexadecimal digits form a valid id.
#[expect(clippy::expect_used, reason = "hexadecimal digits form a valid id")]
pub fn content_digest(method: &str, path: &str, body: &[u8]) -> ContentDigest {
    let mut digest = Sha256::new();
    for field in [method.as_bytes(), path.as_bytes(), body] {
        digest.update(field.len().to_be_bytes());
        digest.update(field);
    }
    let hash: [u8; 32] = digest.finalize().into();
    let hex: String = hash.iter().map(|byte| format!("{byte:02x}")).collect();
    hex.parse().expect("hexadecimal digits form an id")
}
