//! Errors as the person at the terminal sees them.

use std::io;
use std::path::PathBuf;

use snafu::Snafu;

use crate::configuration::ConfigProblem;
use crate::host_process::HostError;

/// Exit code of a call that was refused or failed.
pub const EXIT_FAILED: u8 = 1;
/// Exit code of bad usage or an invalid file.
pub const EXIT_USAGE: u8 = 2;

/// Why a command did not do what it was asked.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The arguments make no sense.
    #[snafu(display("{reason}; see `buckthornturn --help`"))]
    Usage {
        /// What is wrong.
        reason: Box<str>,
    },
    /// A file cannot be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    ReadFile {
        /// File.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// A file is not valid.
    #[snafu(display("{}", problems.join("\n")))]
    InvalidFile {
        /// A line for each problem.
        problems: Vec<Box<str>>,
    },
    /// No log tells of a request.
    #[snafu(display("{reason}"))]
    UnknownRequest {
        /// What was read.
        reason: Box<str>,
    },
    /// The host could not start.
    #[snafu(display("{source}"))]
    Host {
        /// Cause.
        source: HostError,
    },
    /// The runtime could not start.
    #[snafu(display("cannot start: {source}"))]
    Runtime {
        /// Cause.
        source: io::Error,
    },
    /// The host answered with an error, or not at all.
    #[snafu(display("{reason}"))]
    Refused {
        /// What it said.
        reason: Box<str>,
        /// Rules that what was asked would break.
        problems: Vec<ConfigProblem>,
    },
    /// The log could not be opened.
    #[snafu(display("cannot open the log: {source}"))]
    Log {
        /// Cause.
        source: spdlog::Error,
    },
}

impl Error {
    /// Exit code.
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
