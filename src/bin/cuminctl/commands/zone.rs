//! `cuminctl zone`: takes an availability zone out of service or brings it back, by editing its
//! state in the active fleet file and applying the result.

use cuminlb_caller::ApplyRequest;
use cuminlb_config::{ZoneState, set_zone_state};
use cuminlb_types::prelude::*;
use gumdrop::Options;

use super::apply::{print_diff, report_apply};
use super::output::{print_json, print_line};
use crate::cli::CommandContext;
use crate::commands::CommandError;

/// Takes an availability zone out of service, or brings it back.
#[derive(Debug, Options)]
pub(crate) struct ZoneOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print JSON")]
    json: bool,
    #[options(no_short, help = "only print what would change")]
    dry_run: bool,
    #[options(free, help = "`out` or `in`")]
    state: Option<ZoneState>,
    #[options(free, help = "the availability zone")]
    zone: Option<ZoneId>,
}

pub(crate) async fn exec(
    context: &CommandContext,
    options: &ZoneOptions,
) -> Result<(), CommandError> {
    let json = context.json || options.json;
    let (Some(state), Some(zone)) = (options.state, &options.zone) else {
        return Err(CommandError::ZoneUsage);
    };
    let document = context.client.fleet().await?;
    let body = set_zone_state(&document.body, zone, state)?;
    if options.dry_run {
        print_diff(&document.body, &body, json);
        return Ok(());
    }
    if body == document.body {
        if json {
            print_json(&document);
        } else {
            print_line(&format!("zone {zone} is {state} already"));
        }
        return Ok(());
    }
    let base = Some(document.version);
    let report = context.client.apply(&ApplyRequest { base, body }).await?;
    report_apply(&report, json)
}
