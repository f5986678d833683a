//! The keys of all rows and the names of the leases.

use std::fmt::Display;

use cuminlb_types::prelude::*;
use sha2::{Digest, Sha256};
use smol_str::format_smolstr;

use super::{ClaimName, ConfigDigest};

/// Builds the keys of the rows; no other code constructs them.
#[derive(Clone, Copy, Debug)]
pub struct RowKeys;

impl RowKeys {
    /// Returns the key of the active configuration.
    pub fn config_head() -> RowKey {
        Self::row_key("config", &"head")
    }

    /// Returns the key of the object that holds the text of a large configuration.
    ///
    /// # Panics
    ///
    /// Never panics: a prefix and hexadecimal digits form a valid key.
    #[expect(
        clippy::expect_used,
        reason = "a prefix and hexadecimal digits form a valid key"
    )]
    pub fn config_object(digest: &ConfigDigest) -> ObjectKey {
        let text = format_smolstr!("config/{digest}");
        text.parse()
            .expect("a prefix and a digest form a valid key")
    }

    /// Returns the key of the roster of a service.
    pub fn roster(service: &ServiceId) -> RowKey {
        Self::row_key("roster", service)
    }

    /// Returns the key of the row that states which group an instance is in.
    pub fn instance(instance: &InstanceId) -> RowKey {
        Self::row_key("instance", instance)
    }

    /// Returns the key of the claim of a non-idempotent request.
    ///
    /// Teams choose their idempotency keys freely, so the key of the row is a digest of the fields,
    /// each with its length before it: different fields never map to the same row.
    pub fn claim(team: &TeamId, service: &ServiceId, name: &ClaimName) -> RowKey {
        let mut digest = Sha256::new();
        for field in [team.as_str(), service.as_str(), name.kind(), name.as_str()] {
            digest.update(field.len().to_be_bytes());
            digest.update(field);
        }
        let hash: [u8; 32] = digest.finalize().into();
        let hex: String = hash.iter().map(|byte| format!("{byte:02x}")).collect();
        Self::row_key("claim", &hex)
    }

    /// Returns the key of the row of a lease.
    pub fn lease(lease: &LeaseName) -> RowKey {
        Self::row_key("lease", lease)
    }

    /// Returns the name of the lease whose holder plans the groups of a service.
    pub fn plan_lease(service: &ServiceId) -> LeaseName {
        Self::lease_name("plan", service)
    }

    /// Returns the name of the lease whose holder owns a group.
    pub fn group_lease(group: &GroupId) -> LeaseName {
        Self::lease_name("group", group)
    }

    #[expect(
        clippy::expect_used,
        reason = "an id with a short prefix is a valid key"
    )]
    fn row_key(prefix: &str, id: &impl Display) -> RowKey {
        let text = truncate(&format_smolstr!("{prefix}/{id}"));
        text.parse().expect("a prefix and an id form a valid key")
    }

    #[expect(
        clippy::expect_used,
        reason = "an id with a short prefix is a valid name"
    )]
    fn lease_name(prefix: &str, id: &impl Display) -> LeaseName {
        let text = truncate(&format_smolstr!("{prefix}/{id}"));
        text.parse().expect("a prefix and an id form a valid name")
    }
}

/// Truncates a key that is too long and appends a hash of the full text.
fn truncate(text: &str) -> String {
    if text.len() <= MAX_ID_LEN_BYTES - 16 {
        return text.to_owned();
    }
    let hash = xxhash_rust::xxh3::xxh3_64(text.as_bytes());
    format!("{}:{hash:016x}", &text[..MAX_ID_LEN_BYTES - 40])
}
