//! Errors of starting and changing a deployment.

use std::io;

use snafu::Snafu;

use crate::json_client::CallError;

/// Reasons for which a deployment cannot be started or changed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DeploymentError {
    /// The listener of a store or target stand-in cannot be opened.
    #[snafu(display("cannot open a listener for {part}"))]
    Listen {
        /// Name of the target, or `store`.
        part: Box<str>,
        /// Error of the system.
        source: io::Error,
    },
    /// The configuration file of the example cannot be parsed.
    #[snafu(display("the configuration is invalid: {reason}"))]
    Configuration {
        /// Error of the parser, with its position in the file.
        reason: Box<str>,
    },
    /// A host did not start, also after retries.
    #[snafu(display("host {host} did not start: {reason}"))]
    Host {
        /// Name of the host.
        host: Box<str>,
        /// Error of the settings or of the start.
        reason: Box<str>,
    },
    /// A call of the operator API failed.
    #[snafu(display("{action} failed: {source}"))]
    Operator {
        /// Path of the call.
        action: Box<str>,
        /// Error of the call.
        source: CallError,
    },
    /// No host, target, customer, failure domain or region has this name or number.
    #[snafu(display("no {kind} is named `{name}`"))]
    Unknown {
        /// Kind of the part, such as `host`.
        kind: &'static str,
        /// Name or number that was asked for.
        name: Box<str>,
    },
    /// A revision of the configuration did not take effect on every running host in time.
    #[snafu(display("revision {revision} is not in force on: {hosts}"))]
    NotInForce {
        /// Revision that was waited for.
        revision: u64,
        /// Names of the hosts that still have an earlier revision or do not answer, separated by commas.
        hosts: Box<str>,
    },
}
