//! `cuminctl show`: prints the fleet file in force.

use gumdrop::Options;

use super::output::{print_json, print_line};
use crate::cli::CommandContext;
use crate::commands::CommandError;

/// The arguments of `cuminctl show`.
#[derive(Debug, Options)]
pub(crate) struct ShowOptions {
    #[options(help = "print this help")]
    help: bool,
}

pub(crate) async fn exec(
    context: &CommandContext,
    _options: &ShowOptions,
) -> Result<(), CommandError> {
    let document = context.client.fleet().await?;
    if context.json {
        print_json(&document);
    } else {
        print_line(&format!("# configuration {}", document.version));
        print_line(document.body.trim_end());
    }
    Ok(())
}
