//! The `drain` and `undrain` subcommands.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use http::Method;
use pico_args::Arguments;
use serde_json::json;

use crate::error::Error;
use crate::error::UsageSnafu;
use crate::subcommand::operator_endpoint::OperatorEndpoint;
use crate::subcommand::required_argument;
use crate::subcommand::usage_error;

/// Arguments of `drain` or `undrain`. They differ in the path of the request, and only `drain` has a deadline.
pub struct DrainCommand {
    endpoint: OperatorEndpoint,
    path: &'static str,
    scope: Box<str>,
    name: Box<str>,
    deadline: Option<SystemTime>,
}

impl DrainCommand {
    /// Parses the arguments of `drain`.
    pub(super) fn parse_drain(arguments: &mut Arguments) -> Result<Self, Error> {
        let deadline: Option<String> = arguments.opt_value_from_str("--by").map_err(usage_error)?;
        let deadline = deadline.map(|text| parse_time(&text)).transpose()?;
        Self::parse(arguments, "/v1/drains", deadline)
    }

    /// Parses the arguments of `undrain`.
    pub(super) fn parse_undrain(arguments: &mut Arguments) -> Result<Self, Error> {
        Self::parse(arguments, "/v1/undrains", None)
    }

    fn parse(
        arguments: &mut Arguments,
        path: &'static str,
        deadline: Option<SystemTime>,
    ) -> Result<Self, Error> {
        let endpoint = OperatorEndpoint::parse(arguments)?;
        let scope = required_argument(arguments, "what to drain (target, domain or region)")?;
        if !matches!(&*scope, "target" | "domain" | "region") {
            let reason = format!("`{scope}` is not one of target, domain, region");
            return UsageSnafu { reason }.fail();
        }
        Ok(Self { endpoint, path, scope, name: required_argument(arguments, "NAME")?, deadline })
    }

    /// Starts or ends the drain, and prints the accepted revision and any warnings.
    pub(super) fn run(self) -> Result<(), Error> {
        let deadline = self.deadline.and_then(|deadline| deadline.duration_since(UNIX_EPOCH).ok());
        let body = json!({
            "scope": self.scope,
            "name": self.name,
            "by_unix_ms": deadline.map(|since_epoch| since_epoch.as_millis() as u64),
        });
        self.endpoint.call_and_print(Method::POST, self.path, body, |answer| {
            println!("accepted as revision {}", answer["revision"]);
            for warning in answer["warnings"].as_array().into_iter().flatten() {
                println!("warning: {}", warning.as_str().unwrap_or_default());
            }
        })
    }
}

/// Parses an RFC 3339 time, or a duration that is added to the current time.
fn parse_time(text: &str) -> Result<SystemTime, Error> {
    let from_now = |span: Duration| SystemTime::now() + span;
    let time = humantime::parse_rfc3339(text).ok();
    match time.or_else(|| humantime::parse_duration(text).ok().map(from_now)) {
        Some(time) => Ok(time),
        None => {
            let reason = format!(
                "`{text}` is neither a time such as 2026-12-31T00:00:00Z nor a span such as 90min"
            );
            UsageSnafu { reason }.fail()
        }
    }
}
