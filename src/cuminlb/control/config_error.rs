//! Errors that keep a committed configuration from taking effect on a node.

use cuminlb_platform::{PlatformError, TableError};
use cuminlb_types::prelude::*;
use smol_str::SmolStr;

/// The reason why a committed configuration is not in effect on this node yet.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum ConfigError {
    /// The outcome of a table operation is unknown, or the operation failed.
    #[error(transparent)]
    Table(#[from] TableError),
    /// The text could not be fetched from the object store.
    #[error("failed to fetch the text of configuration {version}: {source}")]
    Object {
        /// The version of the configuration.
        version: ConfigVersion,
        /// The error of the object store.
        source: PlatformError,
    },
    /// The object store has no text for the configuration.
    #[error("the text of configuration {version} is missing from the object store")]
    Missing {
        /// The version of the configuration.
        version: ConfigVersion,
    },
    /// The digest of the text differs from the committed one.
    #[error("the text of configuration {version} does not match the digest in its row")]
    WrongDigest {
        /// The version of the configuration.
        version: ConfigVersion,
    },
    /// This version of the program cannot parse the text.
    #[error("configuration {version} cannot be parsed: {report}")]
    Unreadable {
        /// The version of the configuration.
        version: ConfigVersion,
        /// The errors that the parser found.
        report: SmolStr,
    },
}
