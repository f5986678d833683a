//! Parses the command line of `cuminlb`, sets up logging and the runtime, and runs the node.

use std::io::{self, Write};
use std::path::PathBuf;
use std::process::ExitCode;

use cuminlb::ops::{init_logging, load_settings, parse_command_line, run_node};
use cuminlb_config::NodeSettings;
use gumdrop::Options;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

use crate::gateway;

/// The exit status for an invalid command line or invalid settings.
pub(crate) const EXIT_USAGE: u8 = 2;

/// The synopsis of the command line in the help text.
const SYNOPSIS: &str = "cuminlb [OPTIONS] SETTINGS";

#[derive(Debug, Options)]
struct NodeOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version")]
    version: bool,
    #[options(no_short, help = "validate the settings and exit")]
    check: bool,
    #[options(no_short, help = "run on the users' platform")]
    gateway: bool,
    #[options(free, help = "the settings file (TOML)")]
    settings: Option<PathBuf>,
}

/// Parses the command line and executes it.
pub(crate) fn main() -> ExitCode {
    let options: NodeOptions = match parse_command_line(SYNOPSIS) {
        Ok(options) => options,
        Err(code) => return code,
    };
    if options.version {
        let _ = writeln!(io::stdout(), "cuminlb {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(path) = options.settings else {
        eprintln!("no settings file given; see `cuminlb --help`");
        return ExitCode::from(EXIT_USAGE);
    };
    if options.gateway {
        return gateway::main(&path, options.check);
    }
    match load_settings(&path) {
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
        eprintln!("failed to initialize logging: {error}");
    }
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("failed to start the async runtime: {error}");
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

/// Waits for a signal to shut down: SIGTERM or SIGINT.
///
/// Returns immediately if a signal handler can't be installed.
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
