//! `cuminlb`: one node of the system.

mod cli;
mod gateway;
mod settings_file;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::main()
}
