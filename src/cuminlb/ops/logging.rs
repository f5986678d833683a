//! Starts logging.

use std::str::FromStr;

use cuminlb_config::{LogFormat, LogSettings};
use cuminlb_types::prelude::*;
use fern::FormatCallback;
use log::{LevelFilter, Record, SetLoggerError};
use serde_json::json;

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
