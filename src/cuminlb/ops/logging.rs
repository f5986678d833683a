//! Starts logging.

use std::str::FromStr;

use cuminlb_config::{LogFormat, LogSettings};
use cuminlb_types::prelude::*;
use fern::FormatCallback;
use log::kv::{self, Key, VisitSource};
use log::{LevelFilter, Record, SetLoggerError};
use serde_json::{Map, Value, json};

use super::line_writer::LineWriter;

/// Sends log lines to the standard error stream in the form and at the levels of the settings.
///
/// # Errors
///
/// Returns [`SetLoggerError`] when the process logs already.
pub fn init_logging(settings: &LogSettings) -> Result<(), SetLoggerError> {
    let mut dispatch = fern::Dispatch::new().level(level(&settings.level));
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
        dispatch = dispatch.level_for(target.to_string(), level(target_level));
    }
    dispatch.chain(std::io::stderr()).apply()
}

/// Sends one JSON line for each decision to the standard output, without ever waiting for its
/// reader.
///
/// # Errors
///
/// Returns an [`std::io::Error`] when the process logs already or no thread can be started.
pub fn init_decision_log(settings: &LogSettings) -> std::io::Result<()> {
    let writer = LineWriter::start()?;
    let mut dispatch = fern::Dispatch::new().level(level(&settings.level));
    for (target, target_level) in &settings.targets {
        dispatch = dispatch.level_for(target.to_string(), level(target_level));
    }
    dispatch
        .chain(fern::Output::call(move |record| {
            writer.write(decision_line(record));
        }))
        .apply()
        .map_err(std::io::Error::other)
}

/// Returns the line of a record, with its fields beside the message.
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

/// The text of a field whose value is absent.
const ABSENT: &str = "None";

struct Fields(Map<String, Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let value = if let Some(number) = value.to_u64() {
            number.into()
        } else if let Some(flag) = value.to_bool() {
            flag.into()
        } else {
            match value.to_string() {
                text if text == ABSENT => Value::Null,
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

fn level(word: &str) -> LevelFilter {
    LevelFilter::from_str(word).unwrap_or(LevelFilter::Info)
}
