//! `cuminlb`: one node of the system.

mod cli;
mod gateway;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::main()
}
