//! Parses the command line of `cuminctl` and dispatches to its subcommands.

use std::net::SocketAddr;
use std::process::ExitCode;

use cuminlb::ops::{OperatorClient, parse_command_line};
use gumdrop::Options;

use crate::commands::{self, CommandError, print_line};

/// The environment variable that holds the operator token.
const TOKEN_ENV_VAR: &str = "CUMINCTL_TOKEN";

/// The environment variable that holds the addresses of nodes, separated by commas.
const NODES_ENV_VAR: &str = "CUMINCTL_NODES";

/// The synopsis of the command line in the help text.
const SYNOPSIS: &str = "cuminctl [OPTIONS] COMMAND [ARGUMENTS]";

#[derive(Options)]
struct CtlOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print the version")]
    version: bool,
    #[options(help = "the operator address of a node; may be repeated (or CUMINCTL_NODES)")]
    node: Vec<SocketAddr>,
    #[options(
        help = "the operator token (or CUMINCTL_TOKEN, which does not appear in process lists)"
    )]
    token: Option<String>,
    #[options(no_short, help = "print JSON")]
    json: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "validate a fleet file without calling a node")]
    Check(commands::check::CheckOptions),
    #[options(help = "replace the fleet file as a whole")]
    Apply(commands::apply::ApplyOptions),
    #[options(help = "print the active fleet file")]
    Show(commands::show::ShowOptions),
    #[options(help = "print the state of nodes and groups")]
    Status(commands::status::StatusOptions),
    #[options(help = "print the merged events of all nodes")]
    Timeline(commands::timeline::TimelineOptions),
    #[options(help = "show zones, queues, teams and groups, refreshed periodically")]
    Top(commands::top::TopOptions),
    #[options(help = "take an availability zone out of service or bring it back")]
    Zone(commands::zone::ZoneOptions),
}

/// What every subcommand needs: the client for the nodes and the output format.
#[derive(Clone)]
pub(crate) struct CommandContext {
    /// The client, which calls the first node that responds.
    pub(crate) client: OperatorClient,
    /// Whether the output is JSON.
    pub(crate) json: bool,
}

/// Parses the command line and runs the subcommand.
pub(crate) fn main() -> ExitCode {
    let options: CtlOptions = match parse_command_line(SYNOPSIS) {
        Ok(options) => options,
        Err(code) => return code,
    };
    if options.version {
        print_line(&format!("cuminctl {}", env!("CARGO_PKG_VERSION")));
        return ExitCode::SUCCESS;
    }
    let Some(command) = options.command else {
        eprintln!("{}", CommandError::NoCommand);
        return CommandError::NoCommand.exit_code();
    };
    let nodes = if options.node.is_empty() {
        nodes_from_env()
    } else {
        Ok(options.node)
    };
    let nodes = match nodes {
        Ok(nodes) => nodes,
        Err(error) => {
            eprintln!("{error}");
            return error.exit_code();
        }
    };
    let token = options
        .token
        .or_else(|| std::env::var(TOKEN_ENV_VAR).ok())
        .unwrap_or_default();
    let context = CommandContext {
        client: OperatorClient::new(nodes, token.into()),
        json: options.json,
    };
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("failed to start the async runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(exec(&context, command)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            error.exit_code()
        }
    }
}

async fn exec(context: &CommandContext, command: Command) -> Result<(), CommandError> {
    match command {
        Command::Check(options) => commands::check::exec(context, &options),
        Command::Apply(options) => commands::apply::exec(context, &options).await,
        Command::Show(options) => commands::show::exec(context, &options).await,
        Command::Status(options) => commands::status::exec(context, &options).await,
        Command::Timeline(options) => commands::timeline::exec(context, &options).await,
        Command::Top(options) => commands::top::exec(context, &options).await,
        Command::Zone(options) => commands::zone::exec(context, &options).await,
    }
}

/// Parses the comma-separated addresses in [`NODES_ENV_VAR`].
fn nodes_from_env() -> Result<Vec<SocketAddr>, CommandError> {
    let nodes = std::env::var(NODES_ENV_VAR).unwrap_or_default();
    let nodes = nodes.split(',').map(str::trim);
    nodes
        .filter(|node| !node.is_empty())
        .map(|node| {
            node.parse()
                .map_err(|_| CommandError::BadAddress { text: node.into() })
        })
        .collect()
}
