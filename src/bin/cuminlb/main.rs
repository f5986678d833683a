//! The `cuminlb` program, which runs one node.

mod cli;
mod gateway;
mod settings_file;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::main()
}
