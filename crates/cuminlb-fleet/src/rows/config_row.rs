//! The row `config/head`.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::{ConfigBody, ConfigDigest};

/// The active configuration, as stored in `config/head`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigRow {
    /// The version; each apply increments it by one.
    pub version: ConfigVersion,
    /// The digest of the text of the fleet file.
    pub digest: ConfigDigest,
    /// The text of the fleet file, or where it is stored.
    pub body: ConfigBody,
}

impl ConfigRow {
    /// Creates the row of a configuration; its size decides where the text is stored.
    pub fn new(version: ConfigVersion, text: &str) -> Self {
        Self {
            version,
            digest: ConfigDigest::compute(text),
            body: ConfigBody::for_text(text),
        }
    }
}
