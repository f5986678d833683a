//! Runs the stand-in for one member instance of a model service as a process.

use std::net::SocketAddr;
use std::process::ExitCode;

use cuminlb_standins::{Engine, EngineOptions};
use cuminlb_types::prelude::*;
use gumdrop::Options;
use tokio_util::sync::CancellationToken;

/// The exit status after a simulated crash from overload.
const EXIT_OVERLOADED: u8 = 101;

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "the address to listen on (default 127.0.0.1:9000)")]
    listen: Option<SocketAddr>,
    #[options(no_short, help = "the time to the first token")]
    first_token: Option<Millis>,
    #[options(no_short, help = "the time between two tokens")]
    token_gap: Option<Millis>,
    #[options(no_short, help = "the number of tokens of a response")]
    tokens: Option<TokenCount>,
    #[options(no_short, help = "how long the engine is cold after joining a group")]
    cold_start: Option<Millis>,
    #[options(
        no_short,
        help = "concurrent requests above which a cold engine crashes"
    )]
    cold_limit: Option<SlotCount>,
    #[options(
        no_short,
        help = "concurrent requests above which a warm engine crashes"
    )]
    warm_limit: Option<SlotCount>,
    #[options(no_short, help = "execute orders with an old fencing number")]
    ignore_fencing: bool,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let listen = arguments
        .listen
        .unwrap_or(SocketAddr::from(([127, 0, 0, 1], 9_000)));
    let defaults = EngineOptions::default();
    let options = EngineOptions {
        first_token_ms: arguments.first_token.unwrap_or(defaults.first_token_ms),
        token_gap_ms: arguments.token_gap.unwrap_or(defaults.token_gap_ms),
        tokens: arguments.tokens.unwrap_or(defaults.tokens),
        cold_start_ms: arguments.cold_start.unwrap_or(defaults.cold_start_ms),
        cold_limit: arguments.cold_limit.unwrap_or(defaults.cold_limit),
        warm_limit: arguments.warm_limit.unwrap_or(defaults.warm_limit),
        report_lag_ms: defaults.report_lag_ms,
        checks_fencing: !arguments.ignore_fencing,
    };
    let crashed = CancellationToken::new();
    match Engine::start(listen, options, crashed.clone()).await {
        Ok(server) => {
            tokio::select! {
                _ = tokio::signal::ctrl_c() => {
                    server.stop().await;
                    ExitCode::SUCCESS
                }
                () = crashed.cancelled() => ExitCode::from(EXIT_OVERLOADED),
            }
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
