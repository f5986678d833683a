//! `cuminctl apply`: puts a fleet file in force as a whole.

use std::path::PathBuf;

use cuminlb::ops::check_fleet;
use cuminlb_caller::{ApplyReport, ApplyRequest};
use cuminlb_types::prelude::*;
use gumdrop::Options;

use super::output::{print_json, print_line};
use crate::cli::CommandContext;
use crate::commands::CommandError;

/// The arguments of `cuminctl apply`.
#[derive(Debug, Options)]
pub(crate) struct ApplyOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "the version that you edited; by default the one in force now")]
    base: Option<u64>,
    #[options(free, required, help = "the fleet file (TOML)")]
    file: PathBuf,
}

pub(crate) async fn exec(
    context: &CommandContext,
    options: &ApplyOptions,
) -> Result<(), CommandError> {
    let (body, _) = check_fleet(&options.file)?;
    let base = match options.base {
        Some(base) => ConfigVersion(base),
        None => context.client.fleet().await?.version,
    };
    let base = Some(base).filter(|base| *base > ConfigVersion(0));
    let report = context.client.apply(&ApplyRequest { base, body }).await?;
    if context.json {
        print_json(&report);
    } else {
        print_report(&report);
    }
    Ok(())
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
