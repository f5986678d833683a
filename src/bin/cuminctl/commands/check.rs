//! `cuminctl check`: validates a fleet file without calling a node.

use std::path::PathBuf;

use cuminlb::ops::load_fleet_file;
use gumdrop::Options;
use serde_json::json;

use super::output::{print_json, print_line};
use crate::cli::CommandContext;
use crate::commands::CommandError;

/// Validates a fleet file without calling a node.
#[derive(Debug, Options)]
pub(crate) struct CheckOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print JSON")]
    json: bool,
    #[options(free, required, help = "the fleet file (TOML)")]
    file: PathBuf,
}

pub(crate) fn exec(context: &CommandContext, options: &CheckOptions) -> Result<(), CommandError> {
    let (_, spec) = load_fleet_file(&options.file)?;
    if context.json || options.json {
        print_json(&json!({
            "zones": spec.zones.len(),
            "teams": spec.teams.len(),
            "services": spec.services.len(),
        }));
    } else {
        print_line(&format!(
            "{}: ok, {} zones, {} teams, {} services",
            options.file.display(),
            spec.zones.len(),
            spec.teams.len(),
            spec.services.len()
        ));
    }
    Ok(())
}
