//! Initializes logging: the log of a node on the standard error stream, or the JSON decision log
//! of a gateway node on the standard output.

use std::str::FromStr;

use cuminlb_config::{LogFormat, LogSettings};
use cuminlb_types::prelude::*;
use fern::FormatCallback;
use log::kv::{self, Key, VisitSource};
use log::{LevelFilter, Record, SetLoggerError};
use serde_json::{Map, Value, json};

use super::line_writer::LineWriter;

/// Installs a logger that writes to the standard error stream, with the format and the levels of
/// the settings.
///
/// # Errors
///
/// Returns [`SetLoggerError`] if a logger is already installed.
pub fn init_logging(settings: &LogSettings) -> Result<(), SetLoggerError> {
    let mut dispatch = fern::Dispatch::new().level(parse_level(&settings.level));
    dispatch = match settings.format {
        LogFormat::Text => dispatch.format(|out, message, record| {
            let time = UnixMillis::now();
            out.finish(format_args!(
                "{time} {} {}: {message}",
                record.level(),
                record.target()
            ));
        }),
        LogFormat::Json => dispatch.format(|out, message, record| {
            format_json(out, &message.to_string(), record);
        }),
    };
    for (target, target_level) in &settings.targets {
        dispatch = dispatch.level_for(target.to_string(), parse_level(target_level));
    }
    dispatch.chain(std::io::stderr()).apply()
}

/// Installs a logger that writes one JSON line for each record to the standard output and never
/// blocks if the output is not being read.
///
/// # Errors
///
/// Returns an [`std::io::Error`] if a logger is already installed or the writer thread can't be
/// started.
pub fn init_decision_log(settings: &LogSettings) -> std::io::Result<()> {
    let writer = LineWriter::start()?;
    let mut dispatch = fern::Dispatch::new().level(parse_level(&settings.level));
    for (target, target_level) in &settings.targets {
        dispatch = dispatch.level_for(target.to_string(), parse_level(target_level));
    }
    dispatch
        .chain(fern::Output::call(move |record| {
            writer.write(decision_line(record));
        }))
        .apply()
        .map_err(std::io::Error::other)
}

/// Formats a record as a JSON object with its fields next to the message.
fn decision_line(record: &Record<'_>) -> String {
    let mut fields = Fields(Map::new());
    let now = UnixMillis::now();
    fields.0.insert("time_ms".to_owned(), now.get().into());
    fields
        .0
        .insert("level".to_owned(), record.level().as_str().into());
    fields
        .0
        .insert("message".to_owned(), record.args().to_string().into());
    if let Err(error) = record.key_values().visit(&mut fields) {
        fields
            .0
            .insert("field_error".to_owned(), error.to_string().into());
    }
    let mut line = Value::Object(fields.0).to_string();
    line.push('\n');
    line
}

/// The text of an `Option` without a value, which is written as JSON `null`.
const NONE_TEXT: &str = "None";

/// Collects the fields of a record. Numbers and Booleans stay such; other values become strings.
struct Fields(Map<String, Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let value = if let Some(number) = value.to_u64() {
            number.into()
        } else if let Some(flag) = value.to_bool() {
            flag.into()
        } else {
            match value.to_string() {
                text if text == NONE_TEXT => Value::Null,
                text => text.into(),
            }
        };
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}

fn format_json(out: FormatCallback<'_>, message: &str, record: &Record<'_>) {
    let line = json!({
        "time": UnixMillis::now().to_string(),
        "level": record.level().as_str(),
        "target": record.target(),
        "message": message,
    });
    out.finish(format_args!("{line}"));
}

/// Parses the name of a level; unknown names count as `info`.
fn parse_level(name: &str) -> LevelFilter {
    LevelFilter::from_str(name).unwrap_or(LevelFilter::Info)
}
