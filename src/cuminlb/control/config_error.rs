//! [`ConfigError`].

use cuminlb_platform::{PlatformError, TableError};
use cuminlb_types::prelude::*;
use smol_str::SmolStr;

/// The reason why a committed configuration is not in force on this node yet.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum ConfigError {
    /// The table gave no certain answer.
    #[error(transparent)]
    Table(#[from] TableError),
    /// The object store gave no answer.
    #[error("the text of configuration {version} can't be fetched: {source}")]
    Object {
        /// The configuration.
        version: ConfigVersion,
        /// What the object store reported.
        source: PlatformError,
    },
    /// The object store does not hold the text.
    #[error("the object store lacks the text of configuration {version}")]
    Missing {
        /// The configuration.
        version: ConfigVersion,
    },
    /// The text is not the one that was committed.
    #[error("the text of configuration {version} does not have the digest in its row")]
    WrongDigest {
        /// The configuration.
        version: ConfigVersion,
    },
    /// This version of the program can't read the text.
    #[error("configuration {version} can't be read: {report}")]
    Unreadable {
        /// The configuration.
        version: ConfigVersion,
        /// The mistakes that were found.
        report: SmolStr,
    },
}
