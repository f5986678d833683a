//! The typed access to a TOML table, on which all parsers of this crate are built.

use std::fmt::Display;
use std::str::FromStr;

use smol_str::{SmolStr, ToSmolStr, format_smolstr};
use toml::{Table, Value};

use super::{Bounds, Problem, Problems};

/// Removes typed values from a TOML table and records each problem. Keys that remain at the end are
/// unknown.
#[derive(Debug)]
pub(crate) struct TableReader<'a> {
    /// The full key of the table; empty for the root table.
    path: SmolStr,
    table: Table,
    problems: &'a mut Problems,
}

impl<'a> TableReader<'a> {
    /// Parses a file, and returns a reader of its root table.
    pub(crate) fn parse(text: &str, problems: &'a mut Problems) -> Option<Self> {
        match text.parse::<Table>() {
            Ok(table) => Some(Self {
                path: SmolStr::default(),
                table,
                problems,
            }),
            Err(error) => {
                problems.push(Problem::Syntax {
                    message: syntax_message(text, &error),
                });
                None
            }
        }
    }

    /// Takes a required value.
    pub(crate) fn required<T>(&mut self, key: &str, hint: &'static str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        match self.table.remove(key) {
            Some(value) => self.read(key, &value),
            None => {
                let key = self.full_key(key);
                self.problems.push(Problem::Missing { key, hint });
                None
            }
        }
    }

    /// Takes an optional value.
    pub(crate) fn optional<T>(&mut self, key: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let value = self.table.remove(key)?;
        self.read(key, &value)
    }

    /// Takes an optional value that must be within bounds. Returns the default if the value is
    /// absent or invalid.
    pub(crate) fn bounded<T>(&mut self, key: &str, default: T, bounds: Bounds<T>) -> T
    where
        T: FromStr + Display + PartialOrd,
        T::Err: Display,
    {
        let Some(value) = self.optional::<T>(key) else {
            return default;
        };
        if bounds.contains(&value) {
            return value;
        }
        let key = self.full_key(key);
        let bound = bounds.to_smolstr();
        self.problems.push(Problem::OutOfBounds {
            key,
            value: value.to_smolstr(),
            bound,
        });
        default
    }

    /// Takes a list of values; an absent key is read as an empty list.
    pub(crate) fn list<T>(&mut self, key: &str) -> Vec<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        match self.table.remove(key) {
            None => Vec::new(),
            Some(Value::Array(values)) => values
                .iter()
                .filter_map(|value| self.read(key, value))
                .collect(),
            Some(other) => {
                self.reject_value(key, &other, "must be a list");
                Vec::new()
            }
        }
    }

    /// Takes a nested table and reads it with `read`; an absent table is read as an empty one.
    pub(crate) fn section<R>(
        &mut self,
        key: &str,
        read: impl FnOnce(&mut TableReader<'_>) -> R,
    ) -> R {
        let table = match self.table.remove(key) {
            None => Table::new(),
            Some(Value::Table(table)) => table,
            Some(other) => {
                self.reject_value(key, &other, "must be a table");
                Table::new()
            }
        };
        let path = self.full_key(key);
        self.read_nested(path, table, read)
    }

    /// Takes an array of tables and reads each with `read`; an absent array is read as an empty
    /// one.
    pub(crate) fn sections<R>(
        &mut self,
        key: &str,
        mut read: impl FnMut(&mut TableReader<'_>) -> Option<R>,
    ) -> Vec<R> {
        let values = match self.table.remove(key) {
            None => Vec::new(),
            Some(Value::Array(values)) => values,
            Some(other) => {
                self.reject_value(key, &other, "must be an array of tables");
                Vec::new()
            }
        };
        let mut results = Vec::with_capacity(values.len());
        for (index, value) in values.into_iter().enumerate() {
            let path = self.full_key(&format_smolstr!("{key}[{index}]"));
            match value {
                Value::Table(table) => results.extend(self.read_nested(path, table, &mut read)),
                other => self.reject_value(key, &other, "must be an array of tables"),
            }
        }
        results
    }

    /// Records each remaining key as unknown.
    pub(crate) fn report_unknown_keys(&mut self) {
        let keys: Vec<String> = self.table.keys().cloned().collect();
        for key in keys {
            let key = self.full_key(&key);
            self.problems.push(Problem::UnknownKey { key });
        }
    }

    /// Records that the value of a key of this table is invalid.
    pub(crate) fn reject(&mut self, key: &str, value: impl Display, reason: impl Display) {
        let key = self.full_key(key);
        self.problems.push(Problem::BadValue {
            key,
            value: value.to_smolstr(),
            reason: reason.to_smolstr(),
        });
    }

    /// Records each repetition of a value that must be unique.
    pub(crate) fn check_unique<T: Display>(&mut self, key: &str, values: impl Iterator<Item = T>) {
        let key = self.full_key(key);
        self.problems.check_unique(&key, values);
    }

    fn read_nested<R>(
        &mut self,
        path: SmolStr,
        table: Table,
        read: impl FnOnce(&mut TableReader<'_>) -> R,
    ) -> R {
        let mut nested = TableReader {
            path,
            table,
            problems: &mut *self.problems,
        };
        let result = read(&mut nested);
        nested.report_unknown_keys();
        result
    }

    fn read<T>(&mut self, key: &str, value: &Value) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let text = scalar_text(value);
        match text.parse() {
            Ok(parsed) => Some(parsed),
            Err(error) => {
                self.reject(key, text, error);
                None
            }
        }
    }

    fn reject_value(&mut self, key: &str, value: &Value, reason: &'static str) {
        self.reject(key, scalar_text(value), reason);
    }

    fn full_key(&self, key: &str) -> SmolStr {
        if self.path.is_empty() {
            SmolStr::new(key)
        } else {
            format_smolstr!("{}.{key}", self.path)
        }
    }
}

/// Returns the message of the parser with its line and column, but without the text at this
/// position, which may contain a secret.
fn syntax_message(text: &str, error: &toml::de::Error) -> SmolStr {
    let Some(span) = error.span() else {
        return error.message().into();
    };
    let preceding = text.get(..span.start).unwrap_or(text);
    let line = preceding.matches('\n').count() + 1;
    let line_start = preceding.rfind('\n').map_or(0, |end| end + 1);
    let column = preceding[line_start..].chars().count() + 1;
    format_smolstr!("line {line}, column {column}: {}", error.message())
}

/// Returns the text of a value for `FromStr`: strings without their quotes.
fn scalar_text(value: &Value) -> SmolStr {
    match value {
        Value::String(text) => SmolStr::new(text),
        other => other.to_smolstr(),
    }
}
