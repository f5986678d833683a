//! `cuminlb`: one node of the system.

mod cli;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::main()
}
