//! Arguments shared by the subcommands that call an operators' listener.

use std::net::SocketAddr;
use std::path::PathBuf;

use http::Method;
use pico_args::Arguments;
use serde_json::Value;
use snafu::ResultExt;
use tokio::runtime::Runtime;

use crate::error::Error;
use crate::error::RuntimeSnafu;
use crate::subcommand::operator_client::OperatorClient;
use crate::subcommand::usage_error;

/// Operators' listener of a host, with the output format of its answers.
pub(super) struct OperatorEndpoint {
    host: SocketAddr,
    authority: Option<PathBuf>,
    /// Whether answers are printed as JSON instead of text.
    pub(super) is_json: bool,
}

impl OperatorEndpoint {
    /// Parses `--host`, `--ca` and `--json`.
    pub(super) fn parse(arguments: &mut Arguments) -> Result<Self, Error> {
        Ok(Self {
            host: arguments.value_from_str("--host").map_err(usage_error)?,
            authority: arguments.opt_value_from_str("--ca").map_err(usage_error)?,
            is_json: arguments.contains("--json"),
        })
    }

    /// Calls the host and returns its answer. Blocks the thread on a runtime of its own.
    pub(super) fn call(&self, method: Method, path: &str, body: Value) -> Result<Value, Error> {
        let client = OperatorClient::new(self.host, self.authority.clone());
        let runtime = Runtime::new().context(RuntimeSnafu)?;
        runtime.block_on(client.call(method, path, body))
    }

    /// Calls the host and prints its answer, as JSON with `--json`, else with `print_answer`.
    pub(super) fn call_and_print(
        &self,
        method: Method,
        path: &str,
        body: Value,
        print_answer: impl FnOnce(&Value),
    ) -> Result<(), Error> {
        let answer = self.call(method, path, body)?;
        match self.is_json {
            true => println!("{answer}"),
            false => print_answer(&answer),
        }
        Ok(())
    }
}
