//! The `status` subcommand, which shows the status of a host.

use http::Method;
use pico_args::Arguments;
use serde_json::Value;

use crate::error::Error;
use crate::subcommand::operator_endpoint::OperatorEndpoint;

/// Arguments of `status`: the host and the output format.
pub struct StatusCommand {
    endpoint: OperatorEndpoint,
}

impl StatusCommand {
    /// Parses the arguments; all of them belong to the endpoint.
    pub(super) fn parse(arguments: &mut Arguments) -> Result<Self, Error> {
        Ok(Self { endpoint: OperatorEndpoint::parse(arguments)? })
    }

    /// Fetches the status from the host and prints it, one line for each row.
    pub(super) fn run(self) -> Result<(), Error> {
        self.endpoint.call_and_print(Method::GET, "/v1/status", Value::Null, print_status)
    }
}

fn print_status(answer: &Value) {
    let Value::Object(parts) = answer else { return };
    for (name, part) in parts {
        match part {
            Value::Array(rows) => {
                println!("{name}: {}", rows.len());
                rows.iter().for_each(|row| println!("  {}", format_row(row)));
            }
            Value::Object(rows) => {
                println!("{name}:");
                rows.iter().for_each(|(key, row)| println!("  {key}: {}", format_row(row)));
            }
            part => println!("{name}: {}", format_row(part)),
        }
    }
}

/// Formats a row as one line of `field value` pairs separated by commas.
fn format_row(row: &Value) -> String {
    match row {
        Value::Object(fields) => {
            let fields =
                fields.iter().map(|(field, value)| format!("{field} {}", format_row(value)));
            fields.collect::<Vec<_>>().join(", ")
        }
        Value::Array(rows) => {
            let rows = rows.iter().map(|row| format!("[{}]", format_row(row)));
            rows.collect::<Vec<_>>().join(" ")
        }
        Value::String(text) => text.clone(),
        Value::Null => "-".into(),
        value => value.to_string(),
    }
}
