//! Command line of the program: parsing and execution of subcommands.

mod apply_command;
mod check_command;
mod command_help;
mod drain_command;
mod explain_command;
mod get_command;
mod host_command;
mod key_command;
mod log_level_command;
mod operator_client;
mod operator_endpoint;
mod status_command;

use pico_args::Arguments;

use crate::error::Error;
use crate::error::UsageSnafu;
use crate::subcommand::apply_command::ApplyCommand;
use crate::subcommand::check_command::CheckCommand;
use crate::subcommand::command_help::HELP;
use crate::subcommand::command_help::subcommand_help;
use crate::subcommand::drain_command::DrainCommand;
use crate::subcommand::explain_command::ExplainCommand;
use crate::subcommand::get_command::GetCommand;
use crate::subcommand::host_command::HostCommand;
use crate::subcommand::key_command::KeyCommand;
use crate::subcommand::log_level_command::LogLevelCommand;
use crate::subcommand::status_command::StatusCommand;

/// Parsed command line: a subcommand with its arguments, or a request for help or the version.
pub enum Subcommand {
    /// Prints the help text of the program or of a subcommand.
    Help(&'static str),
    /// Prints the name and version of the program.
    Version,
    /// Runs an entry host in this process.
    Host(HostCommand),
    /// Validates a settings or configuration file without a host.
    Check(CheckCommand),
    /// Applies a configuration file through a host.
    Apply(ApplyCommand),
    /// Shows the configuration in force on a host.
    Get(GetCommand),
    /// Shows the status of a host.
    Status(StatusCommand),
    /// Starts or ends a drain.
    Drain(DrainCommand),
    /// Grants or withdraws a key of a customer.
    Key(KeyCommand),
    /// Sets the log level of a running host.
    LogLevel(LogLevelCommand),
    /// Explains a request from the logs of hosts.
    Explain(ExplainCommand),
}

impl Subcommand {
    /// Parses the command line and checks that no argument is left over.
    ///
    /// # Errors
    ///
    /// Fails on unknown, missing or malformed arguments.
    pub fn parse(mut arguments: Arguments) -> Result<Self, Error> {
        let name = arguments.subcommand().map_err(usage_error)?;
        let wants_help = arguments.contains(["-h", "--help"]);
        let command = match name.as_deref() {
            None if wants_help => Self::Help(HELP),
            None if arguments.contains("--version") => Self::Version,
            None => return UsageSnafu { reason: "no subcommand is given" }.fail(),
            Some(name) if wants_help => match subcommand_help(name) {
                Some(help) => return Ok(Self::Help(help)),
                None => return unknown_subcommand(name),
            },
            Some("host") => Self::Host(HostCommand::parse(&mut arguments)?),
            Some("check") => Self::Check(CheckCommand::parse(&mut arguments)?),
            Some("apply") => Self::Apply(ApplyCommand::parse(&mut arguments)?),
            Some("get") => Self::Get(GetCommand::parse(&mut arguments)?),
            Some("status") => Self::Status(StatusCommand::parse(&mut arguments)?),
            Some("drain") => Self::Drain(DrainCommand::parse_drain(&mut arguments)?),
            Some("undrain") => Self::Drain(DrainCommand::parse_undrain(&mut arguments)?),
            Some("key") => Self::Key(KeyCommand::parse(&mut arguments)?),
            Some("log-level") => Self::LogLevel(LogLevelCommand::parse(&mut arguments)?),
            Some("explain") => Self::Explain(ExplainCommand::parse(&mut arguments)?),
            Some(name) => return unknown_subcommand(name),
        };
        match arguments.finish().first() {
            Some(extra) => {
                let reason = format!("unknown argument `{}`", extra.to_string_lossy());
                UsageSnafu { reason }.fail()
            }
            None => Ok(command),
        }
    }

    /// Runs the subcommand to its end; `host` ends with a signal.
    ///
    /// # Errors
    ///
    /// Fails for example if a file is invalid, the host refuses the request, or the host cannot start.
    pub fn run(self) -> Result<(), Error> {
        match self {
            Self::Help(help) => print!("{help}"),
            Self::Version => println!("buckthornturn {}", env!("CARGO_PKG_VERSION")),
            Self::Host(command) => command.run()?,
            Self::Check(command) => command.run()?,
            Self::Apply(command) => command.run()?,
            Self::Get(command) => command.run()?,
            Self::Status(command) => command.run()?,
            Self::Drain(command) => command.run()?,
            Self::Key(command) => command.run()?,
            Self::LogLevel(command) => command.run()?,
            Self::Explain(command) => command.run()?,
        }
        Ok(())
    }
}

fn unknown_subcommand<T>(name: &str) -> Result<T, Error> {
    UsageSnafu { reason: format!("unknown subcommand `{name}`") }.fail()
}

/// Converts an argument error into a usage error, which refers to the help text.
fn usage_error(error: pico_args::Error) -> Error {
    UsageSnafu { reason: error.to_string() }.build()
}

/// Takes the next positional argument. Fails if it is missing, which the error tells by the name in `what`, or if an
/// option is in its place.
fn required_argument(arguments: &mut Arguments, what: &str) -> Result<Box<str>, Error> {
    let text: Option<String> = arguments.opt_free_from_str().map_err(usage_error)?;
    match text {
        Some(text) if !text.starts_with('-') => Ok(text.into()),
        Some(text) => UsageSnafu { reason: format!("unknown argument `{text}`") }.fail(),
        None => UsageSnafu { reason: format!("{what} is missing") }.fail(),
    }
}
