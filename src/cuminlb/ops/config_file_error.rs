//! The error of loading a settings file or a fleet file.

use cuminlb_config::ConfigError;
use smol_str::SmolStr;

/// The reason why a settings file or a fleet file could not be loaded.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum ConfigFileError {
    /// The file can't be opened or read.
    #[error("{file} can't be read: {reason}")]
    Unreadable {
        /// The path of the file.
        file: SmolStr,
        /// The error that the operating system reported.
        reason: SmolStr,
    },
    /// The contents of the file are invalid.
    #[error(transparent)]
    Invalid(#[from] ConfigError),
}
