//! Reads the command line of either program.

use std::io::Write;
use std::process::ExitCode;

use gumdrop::Options;

/// The exit status for a wrong command line.
const EXIT_USAGE: u8 = 2;

/// Reads the arguments of the process; `synopsis` is the line after `Usage:`.
///
/// # Errors
///
/// Returns the exit status with which to end: that of success after help has been printed, that
/// of a wrong command line after the mistake has been printed.
pub fn read_command_line<T: Options>(synopsis: &str) -> Result<T, ExitCode> {
    let arguments = std::env::args_os().skip(1);
    let arguments: Vec<String> = arguments
        .map(|argument| argument.to_string_lossy().into_owned())
        .collect();
    match T::parse_args_default(&arguments) {
        Ok(options) if options.help_requested() => {
            let _ = write!(std::io::stdout(), "{}", help(&options, synopsis));
            Err(ExitCode::SUCCESS)
        }
        Ok(options) => Ok(options),
        Err(error) => {
            let program = synopsis.split(' ').next().unwrap_or_default();
            eprintln!("{error}; see `{program} --help`");
            Err(ExitCode::from(EXIT_USAGE))
        }
    }
}

/// Returns the help of the program, or of the subcommand that was named.
fn help(options: &impl Options, synopsis: &str) -> String {
    let usage = options.self_usage();
    if let Some(command) = options.command_name() {
        let program = synopsis.split(' ').next().unwrap_or_default();
        return format!("Usage: {program} [OPTIONS] {command} [ARGUMENTS]\n\n{usage}\n");
    }
    match options.self_command_list() {
        Some(commands) => format!("Usage: {synopsis}\n\n{usage}\n\nCommands:\n{commands}\n"),
        None => format!("Usage: {synopsis}\n\n{usage}\n"),
    }
}
