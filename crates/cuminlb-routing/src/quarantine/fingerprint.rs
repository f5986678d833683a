//! The fingerprint by which nodes and operators identify a suspect request.

use cuminlb_types::prelude::*;
use sha2::{Digest, Sha256};

/// The length of a fingerprint, before its hexadecimal encoding.
const FINGERPRINT_LEN_BYTES: usize = 16;

/// Returns the fingerprint of a request, keyed with `secret` so that only the nodes can compute it.
///
/// # Panics
///
/// Never panics: hexadecimal digits form a valid id.
#[expect(clippy::expect_used, reason = "hexadecimal digits form a valid id")]
pub fn request_fingerprint(
    secret: &str,
    team: &TeamId,
    service: &ServiceId,
    body: &[u8],
) -> RequestFingerprint {
    let mut digest = Sha256::new();
    let fields = [
        secret.as_bytes(),
        team.as_str().as_bytes(),
        service.as_str().as_bytes(),
        body,
    ];
    for field in fields {
        digest.update(field.len().to_be_bytes());
        digest.update(field);
    }
    let hash: [u8; 32] = digest.finalize().into();
    let hex: String = hash[..FINGERPRINT_LEN_BYTES]
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    hex.parse().expect("hexadecimal digits form an id")
}
