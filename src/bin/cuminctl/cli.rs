//! The command line of operators.

use std::net::SocketAddr;
use std::process::ExitCode;

use cuminlb::ops::{OperatorClient, read_command_line};
use gumdrop::Options;

use crate::commands::{self, CommandError, print_line};

/// The environment variable that holds the operator token.
const TOKEN_VARIABLE: &str = "CUMINCTL_TOKEN";

/// The environment variable that holds the addresses of nodes, separated by commas.
const NODES_VARIABLE: &str = "CUMINCTL_NODES";

/// The line of help that shows the shape of the command line.
const SYNOPSIS: &str = "cuminctl [OPTIONS] COMMAND [ARGUMENTS]";

#[derive(Options)]
struct CtlOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print the version")]
    version: bool,
    #[options(help = "the operator address of a node; may be repeated (or CUMINCTL_NODES)")]
    node: Vec<SocketAddr>,
    #[options(help = "the operator token (or CUMINCTL_TOKEN, which no process list shows)")]
    token: Option<String>,
    #[options(no_short, help = "print JSON")]
    json: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "check a fleet file without a node")]
    Check(commands::check::CheckOptions),
    #[options(help = "put a fleet file in force as a whole")]
    Apply(commands::apply::ApplyOptions),
    #[options(help = "print the fleet file in force")]
    Show(commands::show::ShowOptions),
    #[options(help = "print the state of nodes and groups")]
    Status(commands::status::StatusOptions),
    #[options(help = "print the merged events of all nodes")]
    Timeline(commands::timeline::TimelineOptions),
    #[options(help = "show zones, queues, teams and groups, again and again")]
    Top(commands::top::TopOptions),
    #[options(help = "take an availability zone out of service or bring it back")]
    Zone(commands::zone::ZoneOptions),
}

/// What every subcommand needs: how to reach a node and how to print.
#[derive(Clone)]
pub(crate) struct CommandContext {
    /// Calls the first of the nodes that answers.
    pub(crate) client: OperatorClient,
    /// Whether to print JSON.
    pub(crate) json: bool,
}

/// Reads the command line and does what it says.
pub(crate) fn main() -> ExitCode {
    let options: CtlOptions = match read_command_line(SYNOPSIS) {
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
        nodes_of_environment()
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
        .or_else(|| std::env::var(TOKEN_VARIABLE).ok())
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
            eprintln!("the runtime can't start: {error}");
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

fn nodes_of_environment() -> Result<Vec<SocketAddr>, CommandError> {
    let nodes = std::env::var(NODES_VARIABLE).unwrap_or_default();
    let nodes = nodes.split(',').map(str::trim);
    nodes
        .filter(|node| !node.is_empty())
        .map(|node| {
            node.parse()
                .map_err(|_| CommandError::BadAddress { text: node.into() })
        })
        .collect()
}
