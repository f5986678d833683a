//! Runs workers that refuse a share of the requests, and write copies of refusals, as a process.
//!
//! It prints the id and the entry of each worker as a line of its output.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use cuminlb_refusing_standins::{EventLog, RefusingOptions, RefusingWorker, WorkerKind};
use cuminlb_types::prelude::*;
use gumdrop::Options;
use tokio::task::JoinSet;

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "engine or plain")]
    kind: Option<WorkerKind>,
    #[options(required, help = "the service of the workers")]
    service: Option<ServiceId>,
    #[options(required, help = "the file to which events are appended")]
    log: Option<PathBuf>,
    #[options(help = "the number of workers (default 2)")]
    count: Option<u64>,
    #[options(no_short, help = "the seed of random choices")]
    seed: Option<u64>,
    #[options(no_short, help = "the share of requests that are refused")]
    refusals: Option<Ratio>,
    #[options(no_short, help = "the share of refusals that are copied")]
    copies: Option<Ratio>,
    #[options(no_short, help = "the share of requests that run without a response")]
    breaks: Option<Ratio>,
    #[options(no_short, help = "connections accepted while paused (default 128)")]
    backlog: Option<u32>,
}

/// An error that ends the process.
type RunError = Box<dyn std::error::Error>;

#[tokio::main]
async fn main() -> ExitCode {
    match run(Arguments::parse_args_default_or_exit()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(arguments: Arguments) -> Result<(), RunError> {
    let (Some(kind), Some(service), Some(log)) = (arguments.kind, arguments.service, arguments.log)
    else {
        return Err("--kind, --service and --log are required".into());
    };
    let options = RefusingOptions {
        seed: arguments.seed.unwrap_or(1),
        slots: 8,
        queue: 4,
        refusal_share: arguments.refusals.unwrap_or(Ratio(0.2)),
        copy_share: arguments.copies.unwrap_or(Ratio(0.5)),
        break_share: arguments.breaks.unwrap_or(Ratio(0.02)),
        work: Duration::from_millis(15),
        backlog: arguments.backlog.unwrap_or(128),
        idle_timeout: Duration::from_secs(3),
    };
    let log = Arc::new(EventLog::open(&log)?);
    let mut workers = JoinSet::new();
    for number in 0..arguments.count.unwrap_or(2) {
        let id = format!("{service}-{number}").parse()?;
        let epoch = Epoch(number + 1);
        let worker = RefusingWorker::bind(id, kind, epoch, options, Arc::clone(&log))?;
        print_line(&format!("{} {}", worker.id(), worker.entry(&service)))?;
        workers.spawn(worker.serve());
    }
    while let Some(served) = workers.join_next().await {
        served??;
    }
    Ok(())
}

fn print_line(line: &str) -> std::io::Result<()> {
    use std::io::Write;
    writeln!(std::io::stdout().lock(), "{line}")
}
