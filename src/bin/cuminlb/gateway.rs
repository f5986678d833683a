//! The `--gateway` mode of `cuminlb`: runs a node on the users' platform.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use cuminlb::ops::{init_decision_log, load_gateway_settings};
use cuminlb_config::GatewaySettings;
use cuminlb_gateway::{Edges, run_gateway};
use cuminlb_native::{NativeInstances, NativeStore, NativeWire};
use tokio_util::sync::CancellationToken;

use crate::cli::{EXIT_USAGE, wait_for_signal};
use crate::settings_file::SettingsFile;

/// Loads the settings and runs the node, or only validates the settings if `check_only` is set.
pub(crate) fn main(path: &Path, check_only: bool) -> ExitCode {
    match load_gateway_settings(path) {
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_USAGE)
        }
        Ok(_) if check_only => {
            eprintln!("{}: ok", path.display());
            ExitCode::SUCCESS
        }
        Ok(settings) => run(path, settings),
    }
}

fn run(path: &Path, settings: GatewaySettings) -> ExitCode {
    if let Err(error) = init_decision_log(&settings.log) {
        eprintln!("failed to initialize logging: {error}");
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("failed to start the async runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    let edges = Edges {
        store: Arc::new(NativeStore::new(settings.store, settings.store_timeout_ms)),
        instances: Arc::new(NativeInstances),
        wire: Arc::new(NativeWire),
    };
    let file = SettingsFile::new(path.to_owned(), settings);
    let stop = CancellationToken::new();
    let outcome = runtime.block_on(async {
        let signals = async {
            wait_for_signal().await;
            // The times of the stop follow from the settings at the signal.
            file.reload(false);
            stop.cancel();
            std::future::pending::<()>().await;
        };
        let reloads = async {
            file.reload_on_change().await;
            std::future::pending::<()>().await;
        };
        tokio::select! {
            outcome = run_gateway(file.subscribe(), edges, stop.clone()) => outcome,
            () = signals => Ok(()),
            () = reloads => Ok(()),
        }
    });
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
