//! Runs the stand-in for one worker of a plain service as a process.

use std::net::SocketAddr;
use std::process::ExitCode;

use cuminlb_standins::{PlainOptions, PlainService};
use cuminlb_types::prelude::*;
use gumdrop::Options;

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "the address to listen on (default 127.0.0.1:9000)")]
    listen: Option<SocketAddr>,
    #[options(no_short, help = "the time that one call takes")]
    call: Option<Millis>,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let listen = arguments
        .listen
        .unwrap_or(SocketAddr::from(([127, 0, 0, 1], 9_000)));
    let defaults = PlainOptions::default();
    let options = PlainOptions {
        call_ms: arguments.call.unwrap_or(defaults.call_ms),
    };
    match PlainService::start(listen, options).await {
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
