//! The settings that only plain services have.

use smol_str::SmolStr;

use super::CallPattern;
use crate::check::TableReader;

/// The part of a service specification that is specific to plain services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlainSpec {
    /// The prefix of the paths that are forwarded to the service.
    pub path_prefix: SmolStr,
    /// The calls that must not run more than once.
    pub non_idempotent: Vec<CallPattern>,
}

impl PlainSpec {
    pub(crate) fn read(reader: &mut TableReader<'_>) -> Option<Self> {
        let hint = "give a path such as /boat-desk";
        let path_prefix = reader.required::<String>("path_prefix", hint);
        let non_idempotent = reader.list("non_idempotent");
        let path_prefix = path_prefix?;
        if !path_prefix.starts_with('/') || path_prefix.ends_with('/') || path_prefix.len() < 2 {
            reader.reject(
                "path_prefix",
                &path_prefix,
                "must start with / and must not end with /",
            );
            return None;
        }
        Some(Self {
            path_prefix: path_prefix.into(),
            non_idempotent,
        })
    }
}
