//! [`TableReader`].

use std::fmt::Display;
use std::str::FromStr;

use smol_str::{SmolStr, ToSmolStr, format_smolstr};
use toml::{Table, Value};

use super::{Bounds, Problem, Problems};

/// Takes typed values out of one TOML table and records each mistake.
#[derive(Debug)]
pub(crate) struct TableReader<'a> {
    path: SmolStr,
    table: Table,
    problems: &'a mut Problems,
}

impl<'a> TableReader<'a> {
    /// Parses a whole file.
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

    /// Takes a value that must be there.
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

    /// Takes a value that may be absent.
    pub(crate) fn optional<T>(&mut self, key: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let value = self.table.remove(key)?;
        self.read(key, &value)
    }

    /// Takes a value with a default and bounds.
    pub(crate) fn bounded<T>(&mut self, key: &str, default: T, bounds: Bounds<T>) -> T
    where
        T: FromStr + Display + PartialOrd,
        T::Err: Display,
    {
        let Some(value) = self.optional::<T>(key) else {
            return default;
        };
        if bounds.contain(&value) {
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

    /// Takes a list of values; an absent key is an empty list.
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
                self.bad_value(key, &other, "must be a list");
                Vec::new()
            }
        }
    }

    /// Reads a table below this one; an absent table reads as an empty one.
    pub(crate) fn section<R>(
        &mut self,
        key: &str,
        read: impl FnOnce(&mut TableReader<'_>) -> R,
    ) -> R {
        let table = match self.table.remove(key) {
            None => Table::new(),
            Some(Value::Table(table)) => table,
            Some(other) => {
                self.bad_value(key, &other, "must be a table");
                Table::new()
            }
        };
        let path = self.full_key(key);
        self.read_below(path, table, read)
    }

    /// Reads each table of an array of tables; an absent array is an empty one.
    pub(crate) fn sections<R>(
        &mut self,
        key: &str,
        mut read: impl FnMut(&mut TableReader<'_>) -> Option<R>,
    ) -> Vec<R> {
        let values = match self.table.remove(key) {
            None => Vec::new(),
            Some(Value::Array(values)) => values,
            Some(other) => {
                self.bad_value(key, &other, "must be an array of tables");
                Vec::new()
            }
        };
        let mut found = Vec::with_capacity(values.len());
        for (index, value) in values.into_iter().enumerate() {
            let path = self.full_key(&format_smolstr!("{key}[{index}]"));
            match value {
                Value::Table(table) => found.extend(self.read_below(path, table, &mut read)),
                other => self.bad_value(key, &other, "must be an array of tables"),
            }
        }
        found
    }

    /// Records the keys that nobody took.
    pub(crate) fn finish(&mut self) {
        let keys: Vec<String> = self.table.keys().cloned().collect();
        for key in keys {
            let key = self.full_key(&key);
            self.problems.push(Problem::UnknownKey { key });
        }
    }

    /// Records a value that can't stand at a key of this table.
    pub(crate) fn reject(&mut self, key: &str, value: impl Display, reason: impl Display) {
        let key = self.full_key(key);
        self.problems.push(Problem::BadValue {
            key,
            value: value.to_smolstr(),
            reason: reason.to_smolstr(),
        });
    }

    /// Records each value that stands more than once.
    pub(crate) fn check_unique<T: Display>(&mut self, key: &str, values: impl Iterator<Item = T>) {
        let key = self.full_key(key);
        self.problems.check_unique(&key, values);
    }

    fn read_below<R>(
        &mut self,
        path: SmolStr,
        table: Table,
        read: impl FnOnce(&mut TableReader<'_>) -> R,
    ) -> R {
        let mut below = TableReader {
            path,
            table,
            problems: &mut *self.problems,
        };
        let result = read(&mut below);
        below.finish();
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

    fn bad_value(&mut self, key: &str, value: &Value, reason: &'static str) {
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

/// Returns what the parser says and where, without the text itself, which may hold a secret.
fn syntax_message(text: &str, error: &toml::de::Error) -> SmolStr {
    let Some(span) = error.span() else {
        return error.message().into();
    };
    let before = text.get(..span.start).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    let line_start = before.rfind('\n').map_or(0, |end| end + 1);
    let column = before[line_start..].chars().count() + 1;
    format_smolstr!("line {line}, column {column}: {}", error.message())
}

/// Returns the text of a value as `FromStr` takes it: strings without their quotes.
fn scalar_text(value: &Value) -> SmolStr {
    match value {
        Value::String(text) => SmolStr::new(text),
        other => other.to_smolstr(),
    }
}
