//! The `explain` subcommand, which explains one request from the logs of hosts.

use std::fs::File;
use std::io::BufReader;
use std::path::PathBuf;

use pico_args::Arguments;
use snafu::ResultExt;

use crate::error::Error;
use crate::error::ReadFileSnafu;
use crate::error::UnknownRequestSnafu;
use crate::error::UsageSnafu;
use crate::explain::LogReader;
use crate::subcommand::required_argument;
use crate::subcommand::usage_error;

/// Arguments of `explain`: the request ID and the log files.
pub struct ExplainCommand {
    request_id: Box<str>,
    files: Vec<PathBuf>,
}

impl ExplainCommand {
    /// Parses the arguments; at least one log file is required.
    pub(super) fn parse(arguments: &mut Arguments) -> Result<Self, Error> {
        let request_id = required_argument(arguments, "REQUEST-ID")?;
        let mut files = Vec::new();
        while let Some(file) = arguments.opt_free_from_str::<String>().map_err(usage_error)? {
            files.push(PathBuf::from(file));
        }
        match files.is_empty() {
            true => UsageSnafu { reason: "FILE is missing" }.fail(),
            false => Ok(Self { request_id, files }),
        }
    }

    /// Reads the log files in the given order and prints the report of the request.
    pub(super) fn run(self) -> Result<(), Error> {
        let mut reader = LogReader::new(&self.request_id);
        for path in &self.files {
            let file = File::open(path).context(ReadFileSnafu { path })?;
            reader.read(path, &mut BufReader::new(file)).context(ReadFileSnafu { path })?;
        }
        let report = reader.into_report();
        if !report.is_found() {
            return UnknownRequestSnafu { reason: report.to_string() }.fail();
        }
        println!("{report}");
        Ok(())
    }
}
