//! `cuminctl show`: prints the active fleet file.

use gumdrop::Options;

use super::output::{print_json, print_line};
use crate::cli::CommandContext;
use crate::commands::CommandError;

/// Prints the active fleet file.
#[derive(Debug, Options)]
pub(crate) struct ShowOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print JSON")]
    json: bool,
}

pub(crate) async fn exec(
    context: &CommandContext,
    options: &ShowOptions,
) -> Result<(), CommandError> {
    let document = context.client.fleet().await?;
    if context.json || options.json {
        print_json(&document);
        return Ok(());
    }
    eprintln!(
        "configuration {version}; after editing, run `cuminctl apply --base {version} FILE`",
        version = document.version
    );
    print_line(document.body.trim_end());
    Ok(())
}
