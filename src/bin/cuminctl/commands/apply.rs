//! `cuminctl apply`: replaces the fleet file as a whole.

use std::path::PathBuf;

use cuminlb::ops::{DiffLine, diff_lines, load_fleet_file, with_context};
use cuminlb_caller::{ApplyReport, ApplyRequest};
use cuminlb_types::prelude::*;
use gumdrop::Options;
use serde_json::json;

use super::output::{print_json, print_line};
use crate::cli::CommandContext;
use crate::commands::CommandError;

/// Replaces the fleet file as a whole.
#[derive(Debug, Options)]
pub(crate) struct ApplyOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print JSON")]
    json: bool,
    #[options(no_short, help = "only print what would change")]
    dry_run: bool,
    #[options(help = "the version that you edited (default: the active one)")]
    base: Option<u64>,
    #[options(free, required, help = "the fleet file (TOML)")]
    file: PathBuf,
}

pub(crate) async fn exec(
    context: &CommandContext,
    options: &ApplyOptions,
) -> Result<(), CommandError> {
    let json = context.json || options.json;
    let (body, _) = load_fleet_file(&options.file)?;
    if options.dry_run {
        let document = context.client.fleet().await?;
        print_diff(&document.body, &body, json);
        return Ok(());
    }
    let base = match options.base {
        Some(base) => ConfigVersion(base),
        None => context.client.fleet().await?.version,
    };
    let base = Some(base).filter(|base| *base > ConfigVersion(0));
    let report = context.client.apply(&ApplyRequest { base, body }).await?;
    report_apply(&report, json)
}

/// Prints the report of an apply; returns an error unless all nodes have confirmed the
/// configuration or have provably stopped acting on the previous one.
pub(super) fn report_apply(report: &ApplyReport, json: bool) -> Result<(), CommandError> {
    if json {
        print_json(report);
    } else {
        print_apply_report(report);
    }
    if report.not_confirmed.is_empty() {
        return Ok(());
    }
    let version = report.version;
    Err(CommandError::NotConfirmed { version })
}

/// Prints the lines that an apply would change, with some context unless the output is JSON.
pub(super) fn print_diff(old: &str, new: &str, json: bool) {
    let lines = diff_lines(old, new);
    if json {
        let changed_lines = |is_included: fn(&DiffLine<'_>) -> bool| -> Vec<String> {
            let changed = lines.iter().filter(|line| is_included(line));
            changed
                .map(|line| line.to_string()[2..].to_owned())
                .collect()
        };
        print_json(&json!({
            "removed": changed_lines(|line| matches!(line, DiffLine::Removed(_))),
            "added": changed_lines(|line| matches!(line, DiffLine::Added(_))),
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

fn print_apply_report(report: &ApplyReport) {
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
