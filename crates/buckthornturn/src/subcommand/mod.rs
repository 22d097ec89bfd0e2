//! The subcommands.

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

/// What the command line asks for.
pub enum Subcommand {
    /// Prints a help text.
    Help(&'static str),
    /// Prints the version.
    Version,
    /// Runs a host.
    Host(HostCommand),
    /// Validates a file.
    Check(CheckCommand),
    /// Applies a configuration file.
    Apply(ApplyCommand),
    /// Shows configuration.
    Get(GetCommand),
    /// Shows status.
    Status(StatusCommand),
    /// Drains, or ends a drain.
    Drain(DrainCommand),
    /// Grants or withdraws a key.
    Key(KeyCommand),
    /// Changes the level of a host's log.
    LogLevel(LogLevelCommand),
    /// Tells the story of a request.
    Explain(ExplainCommand),
}

impl Subcommand {
    /// Reads the arguments.
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

    /// Does what was asked.
    ///
    /// # Errors
    ///
    /// Fails if it could not be done.
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

/// Turns an error of the arguments into one for the person at the terminal.
fn usage_error(error: pico_args::Error) -> Error {
    UsageSnafu { reason: error.to_string() }.build()
}

/// Reads the next free argument.
fn required_argument(arguments: &mut Arguments, what: &str) -> Result<Box<str>, Error> {
    let text: Option<String> = arguments.opt_free_from_str().map_err(usage_error)?;
    match text {
        Some(text) if !text.starts_with('-') => Ok(text.into()),
        Some(text) => UsageSnafu { reason: format!("unknown argument `{text}`") }.fail(),
        None => UsageSnafu { reason: format!("{what} is missing") }.fail(),
    }
}
