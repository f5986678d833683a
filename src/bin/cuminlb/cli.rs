//! The command line of a node.

use std::io::{self, Write};
use std::path::PathBuf;
use std::process::ExitCode;

use cuminlb::ops::{check_settings, init_logging, read_command_line, run_node};
use cuminlb_config::NodeSettings;
use gumdrop::Options;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

use crate::gateway;

/// The exit status for a wrong command line or wrong settings.
pub(crate) const EXIT_USAGE: u8 = 2;

/// The line of help that shows the shape of the command line.
const SYNOPSIS: &str = "cuminlb [OPTIONS] SETTINGS";

#[derive(Debug, Options)]
struct NodeOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version")]
    version: bool,
    #[options(no_short, help = "check the settings and exit")]
    check: bool,
    #[options(no_short, help = "run on the users' platform")]
    gateway: bool,
    #[options(free, help = "the settings file (TOML)")]
    settings: Option<PathBuf>,
}

/// Reads the command line and does what it says.
pub(crate) fn main() -> ExitCode {
    let options: NodeOptions = match read_command_line(SYNOPSIS) {
        Ok(options) => options,
        Err(code) => return code,
    };
    if options.version {
        let _ = writeln!(io::stdout(), "cuminlb {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(path) = options.settings else {
        eprintln!("name a settings file; see `cuminlb --help`");
        return ExitCode::from(EXIT_USAGE);
    };
    if options.gateway {
        return gateway::main(&path, options.check);
    }
    match check_settings(&path) {
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_USAGE)
        }
        Ok(_) if options.check => {
            eprintln!("{}: ok", path.display());
            ExitCode::SUCCESS
        }
        Ok(settings) => run(settings),
    }
}

fn run(settings: NodeSettings) -> ExitCode {
    if let Err(error) = init_logging(&settings.log) {
        eprintln!("logging can't start: {error}");
    }
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("the runtime can't start: {error}");
            return ExitCode::FAILURE;
        }
    };
    runtime.block_on(async {
        let stop = CancellationToken::new();
        let node = run_node(settings, stop.clone());
        let signals = async {
            wait_for_signal().await;
            stop.cancel();
        };
        let (outcome, ()) = tokio::join!(
            async {
                let outcome = node.await;
                stop.cancel();
                outcome
            },
            async {
                tokio::select! {
                    () = signals => {}
                    () = stop.cancelled() => {}
                }
            }
        );
        match outcome {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("{error}");
                ExitCode::FAILURE
            }
        }
    })
}

/// Waits for the signal to shut down: SIGTERM or SIGINT.
pub(crate) async fn wait_for_signal() {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        return;
    };
    let Ok(mut interrupt) = signal(SignalKind::interrupt()) else {
        return;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
