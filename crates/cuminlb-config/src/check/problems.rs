//! [`Problems`].

use std::collections::HashSet;
use std::fmt::Display;

use smol_str::{SmolStr, ToSmolStr};

use super::{ConfigError, Problem};

/// Collects the mistakes of one file.
#[derive(Debug, Default)]
pub(crate) struct Problems {
    found: Vec<Problem>,
}

impl Problems {
    /// Adds one mistake.
    pub(crate) fn push(&mut self, problem: Problem) {
        self.found.push(problem);
    }

    /// Adds a mistake for each value that stands more than once.
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

    /// Returns the value, or all mistakes where there are any.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError`] when a mistake was found or the value is absent.
    pub(crate) fn finish<T>(self, source: &str, value: Option<T>) -> Result<T, ConfigError> {
        match value {
            Some(value) if self.found.is_empty() => Ok(value),
            _ => Err(ConfigError {
                file: SmolStr::new(source),
                problems: self.found,
            }),
        }
    }
}
