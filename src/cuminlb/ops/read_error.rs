//! [`ReadError`].

use cuminlb_config::ConfigError;
use smol_str::SmolStr;

/// The reason why a settings file or a fleet file can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum ReadError {
    /// The file can't be opened or read.
    #[error("{file} can't be read: {reason}")]
    Unreadable {
        /// The file.
        file: SmolStr,
        /// What the system reported.
        reason: SmolStr,
    },
    /// The file has mistakes.
    #[error(transparent)]
    Invalid(#[from] ConfigError),
}
