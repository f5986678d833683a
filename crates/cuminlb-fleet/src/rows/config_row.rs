//! [`ConfigRow`].

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::{ConfigBody, ConfigDigest};

/// The configuration in force, as it stands in `config/head`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigRow {
    /// The version; each apply raises it by one.
    pub version: ConfigVersion,
    /// The digest of the text of the fleet file.
    pub digest: ConfigDigest,
    /// The text of the fleet file, or where it is.
    pub body: ConfigBody,
}

impl ConfigRow {
    /// Describes a configuration whose text is kept where its size asks for.
    pub fn new(version: ConfigVersion, text: &str) -> Self {
        Self {
            version,
            digest: ConfigDigest::compute(text),
            body: ConfigBody::place(text),
        }
    }
}
