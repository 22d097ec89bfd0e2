//! Errors of the command line program, with their exit codes.

use std::io;
use std::path::PathBuf;

use snafu::Snafu;

use crate::configuration::ConfigProblem;
use crate::host_process::HostError;

/// Exit code of a subcommand that was refused by the host or failed.
pub const EXIT_FAILED: u8 = 1;
/// Exit code for invalid arguments, and for a file that is invalid or unreadable.
pub const EXIT_USAGE: u8 = 2;

/// Reason why a subcommand failed, as printed to the terminal.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The command line arguments are invalid.
    #[snafu(display("{reason}; see `buckthornturn --help`"))]
    Usage {
        /// Description of the invalid argument.
        reason: Box<str>,
    },
    /// A file named in the arguments cannot be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    ReadFile {
        /// Path of the file as given in the arguments.
        path: PathBuf,
        /// Error of the file system.
        source: io::Error,
    },
    /// A settings or configuration file is invalid.
    #[snafu(display("{}", problems.join("\n")))]
    InvalidFile {
        /// One line for each problem, with path, line and column.
        problems: Vec<Box<str>>,
    },
    /// The logs contain no line about the request.
    #[snafu(display("{reason}"))]
    UnknownRequest {
        /// Text of the report, which says what was read.
        reason: Box<str>,
    },
    /// The host could not start.
    #[snafu(display("{source}"))]
    Host {
        /// Part of the host that failed to start.
        source: HostError,
    },
    /// The asynchronous runtime or its signal handlers could not be set up.
    #[snafu(display("cannot start: {source}"))]
    Runtime {
        /// Error of the operating system.
        source: io::Error,
    },
    /// The host answered with an error, or did not answer.
    #[snafu(display("{reason}"))]
    Refused {
        /// Error message of the host, or the reason why the call failed or found no such object.
        reason: Box<str>,
        /// Rules that the requested changes would break; empty for other errors.
        problems: Vec<ConfigProblem>,
    },
    /// The log could not be opened.
    #[snafu(display("cannot open the log: {source}"))]
    Log {
        /// Error of the logging library.
        source: spdlog::Error,
    },
}

impl Error {
    /// Exit code of the process for this error.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Usage { .. } | Self::InvalidFile { .. } | Self::ReadFile { .. } => EXIT_USAGE,
            Self::UnknownRequest { .. }
            | Self::Host { .. }
            | Self::Runtime { .. }
            | Self::Refused { .. }
            | Self::Log { .. } => EXIT_FAILED,
        }
    }
}
