//! The `cuminctl` program, with which operators inspect and configure a fleet.

mod cli;
mod commands;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::main()
}
