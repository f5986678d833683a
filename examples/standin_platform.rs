//! Runs the stand-in for the platform as a process: table, object store and instance list.

use std::net::SocketAddr;
use std::process::ExitCode;

use cuminlb_standins::{Platform, PlatformOptions};
use cuminlb_types::prelude::*;
use gumdrop::Options;

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "the address to listen on (default 127.0.0.1:9000)")]
    listen: Option<SocketAddr>,
    #[options(
        no_short,
        help = "the delay before a change appears in the instance list"
    )]
    list_lag: Option<Millis>,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let listen = arguments
        .listen
        .unwrap_or(SocketAddr::from(([127, 0, 0, 1], 9_000)));
    let options = PlatformOptions {
        list_lag_ms: arguments.list_lag.unwrap_or_default(),
    };
    match Platform::start(listen, options).await {
        Ok(server) => {
            let _ = tokio::signal::ctrl_c().await;
            server.stop().await;
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
