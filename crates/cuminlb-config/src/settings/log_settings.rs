//! The section `log` of a settings file.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use super::LogFormat;
use crate::check::TableReader;

/// The log levels and the log format of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct LogSettings {
    /// The default level: `off`, `error`, `warn`, `info`, `debug` or `trace`.
    pub level: SmolStr,
    /// The format of a line.
    pub format: LogFormat,
    /// The levels of individual targets; in the file, `target=level`.
    pub targets: BTreeMap<SmolStr, SmolStr>,
}

impl LogSettings {
    pub(crate) fn read(reader: &mut TableReader<'_>) -> Self {
        let level = reader
            .optional::<String>("level")
            .unwrap_or_else(|| "info".to_owned());
        check_level(reader, "level", &level);
        let format = reader.optional("format").unwrap_or_default();
        let mut targets = BTreeMap::new();
        for entry in reader.list::<String>("targets") {
            match entry.split_once('=') {
                Some((target, level)) => {
                    check_level(reader, "targets", level);
                    targets.insert(target.into(), level.into());
                }
                None => reader.reject("targets", entry, "must have the form target=level"),
            }
        }
        Self {
            level: level.into(),
            format,
            targets,
        }
    }
}

fn check_level(reader: &mut TableReader<'_>, key: &str, level: &str) {
    if !["off", "error", "warn", "info", "debug", "trace"].contains(&level) {
        reader.reject(key, level, "must be off, error, warn, info, debug or trace");
    }
}
