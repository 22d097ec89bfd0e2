//! The `log-level` subcommand, which sets the log level of a running host.

use http::Method;
use pico_args::Arguments;
use serde_json::json;

use crate::error::Error;
use crate::error::UsageSnafu;
use crate::subcommand::operator_endpoint::OperatorEndpoint;
use crate::subcommand::required_argument;

const LOG_LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

/// Arguments of `log-level`: the host and its new level.
pub struct LogLevelCommand {
    endpoint: OperatorEndpoint,
    level: Box<str>,
}

impl LogLevelCommand {
    /// Parses the arguments and checks the level.
    pub(super) fn parse(arguments: &mut Arguments) -> Result<Self, Error> {
        let endpoint = OperatorEndpoint::parse(arguments)?;
        let level = required_argument(arguments, "LEVEL")?;
        match LOG_LEVELS.contains(&&*level) {
            true => Ok(Self { endpoint, level }),
            false => {
                let reason = format!("`{level}` is not one of {}", LOG_LEVELS.join(", "));
                UsageSnafu { reason }.fail()
            }
        }
    }

    /// Sets the level on the host; a restart of the host resets it to its settings.
    pub(super) fn run(self) -> Result<(), Error> {
        let body = json!({ "level": self.level });
        self.endpoint.call_and_print(Method::PUT, "/v1/log-level", body, |answer| {
            println!("{} logs from level {} on", answer["host"], answer["level"]);
        })
    }
}
