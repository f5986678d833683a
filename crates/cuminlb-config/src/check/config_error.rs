//! [`ConfigError`].

use std::fmt;

use smol_str::SmolStr;

use super::Problem;

/// All mistakes of one file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The name of the file.
    pub file: SmolStr,
    /// Every mistake that was found, in the order of the file.
    pub problems: Vec<Problem>,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} has {} mistake(s):", self.file, self.problems.len())?;
        for problem in &self.problems {
            write!(f, "\n  - {problem}")?;
        }
        Ok(())
    }
}

impl std::error::Error for ConfigError {}
