//! `cuminctl apply`: puts a fleet file in force as a whole.

use std::path::PathBuf;

use cuminlb::ops::{DiffLine, check_fleet, diff_lines, with_context};
use cuminlb_caller::{ApplyReport, ApplyRequest};
use cuminlb_types::prelude::*;
use gumdrop::Options;
use serde_json::json;

use super::output::{print_json, print_line};
use crate::cli::CommandContext;
use crate::commands::CommandError;

/// Puts a fleet file in force as a whole.
#[derive(Debug, Options)]
pub(crate) struct ApplyOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print JSON")]
    json: bool,
    #[options(no_short, help = "print what would change and change nothing")]
    dry_run: bool,
    #[options(help = "the version that you edited; by default the one in force now")]
    base: Option<u64>,
    #[options(free, required, help = "the fleet file (TOML)")]
    file: PathBuf,
}

pub(crate) async fn exec(
    context: &CommandContext,
    options: &ApplyOptions,
) -> Result<(), CommandError> {
    let json = context.json || options.json;
    let (body, _) = check_fleet(&options.file)?;
    if options.dry_run {
        let document = context.client.fleet().await?;
        print_difference(&document.body, &body, json);
        return Ok(());
    }
    let base = match options.base {
        Some(base) => ConfigVersion(base),
        None => context.client.fleet().await?.version,
    };
    let base = Some(base).filter(|base| *base > ConfigVersion(0));
    let report = context.client.apply(&ApplyRequest { base, body }).await?;
    finish(&report, json)
}

/// Prints a report and tells whether every node has confirmed the configuration.
pub(super) fn finish(report: &ApplyReport, json: bool) -> Result<(), CommandError> {
    if json {
        print_json(report);
    } else {
        print_report(report);
    }
    if report.not_confirmed.is_empty() {
        return Ok(());
    }
    let version = report.version;
    Err(CommandError::NotConfirmed { version })
}

/// Prints the lines that an apply would change.
pub(super) fn print_difference(old: &str, new: &str, json: bool) {
    let lines = diff_lines(old, new);
    if json {
        let text = |wanted: fn(&DiffLine<'_>) -> bool| -> Vec<String> {
            let changed = lines.iter().filter(|line| wanted(line));
            changed
                .map(|line| line.to_string()[2..].to_owned())
                .collect()
        };
        print_json(&json!({
            "removed": text(|line| matches!(line, DiffLine::Removed(_))),
            "added": text(|line| matches!(line, DiffLine::Added(_))),
        }));
        return;
    }
    if lines.iter().all(DiffLine::is_same) {
        print_line("no difference from the configuration in force");
        return;
    }
    for line in with_context(&lines) {
        match line {
            Some(line) => print_line(&line.to_string()),
            None => print_line("  ..."),
        }
    }
}

fn print_report(report: &ApplyReport) {
    let ApplyReport {
        version,
        in_force,
        stopped,
        not_confirmed,
    } = report;
    print_line(&format!("configuration {version} accepted"));
    print_line(&format!("in force on {} nodes", in_force.len()));
    for node in stopped {
        print_line(&format!(
            "not confirmed by {node}; it takes no new work until it has it"
        ));
    }
    for node in not_confirmed {
        print_line(&format!(
            "not confirmed by {node}; it may still act on the configuration before"
        ));
    }
}
