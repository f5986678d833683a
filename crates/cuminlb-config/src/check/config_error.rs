//! The error of parsing a file, which lists all problems for the operator.

use std::fmt;

use smol_str::SmolStr;

use super::Problem;

/// All problems of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The name of the file.
    pub file: SmolStr,
    /// The problems, in the order in which they were found.
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
