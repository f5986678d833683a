//! The collector of problems, which readers of nested tables share.

use std::collections::HashSet;
use std::fmt::Display;

use smol_str::{SmolStr, ToSmolStr};

use super::{ConfigError, Problem};

/// Collects the problems of a file.
#[derive(Debug, Default)]
pub(crate) struct Problems {
    list: Vec<Problem>,
}

impl Problems {
    /// Adds a problem.
    pub(crate) fn push(&mut self, problem: Problem) {
        self.list.push(problem);
    }

    /// Adds a problem for each repetition of a value.
    pub(crate) fn check_unique<T: Display>(&mut self, key: &str, values: impl Iterator<Item = T>) {
        let mut seen = HashSet::new();
        for value in values {
            let value = value.to_smolstr();
            if !seen.insert(value.clone()) {
                self.push(Problem::Duplicate {
                    key: key.into(),
                    value,
                });
            }
        }
    }

    /// Returns the parsed value, or all problems if there are any.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError`] if there are problems or the value is `None`.
    pub(crate) fn into_result<T>(self, file: &str, value: Option<T>) -> Result<T, ConfigError> {
        match value {
            Some(value) if self.list.is_empty() => Ok(value),
            _ => Err(ConfigError {
                file: SmolStr::new(file),
                problems: self.list,
            }),
        }
    }
}
