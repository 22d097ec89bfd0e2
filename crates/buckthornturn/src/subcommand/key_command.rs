//! The `key grant` and `key withdraw` subcommands.

use http::Method;
use pico_args::Arguments;
use serde_json::Value;
use serde_json::json;

use crate::error::Error;
use crate::error::UsageSnafu;
use crate::subcommand::operator_endpoint::OperatorEndpoint;
use crate::subcommand::required_argument;

/// Arguments of `key`, with the action to take.
pub struct KeyCommand {
    endpoint: OperatorEndpoint,
    action: KeyAction,
}

enum KeyAction {
    Grant { customer: Box<str> },
    Withdraw { key: Box<str> },
}

impl KeyCommand {
    /// Parses the arguments, of which the first names the action.
    pub(super) fn parse(arguments: &mut Arguments) -> Result<Self, Error> {
        let endpoint = OperatorEndpoint::parse(arguments)?;
        let action = match &*required_argument(arguments, "what to do (grant or withdraw)")? {
            "grant" => KeyAction::Grant { customer: required_argument(arguments, "CUSTOMER")? },
            "withdraw" => KeyAction::Withdraw { key: required_argument(arguments, "KEY-ID")? },
            other => {
                let reason = format!("`{other}` is neither grant nor withdraw");
                return UsageSnafu { reason }.fail();
            }
        };
        Ok(Self { endpoint, action })
    }

    /// Grants a key and prints it, or withdraws a key and prints the failure domains where that is in force.
    pub(super) fn run(self) -> Result<(), Error> {
        match self.action {
            KeyAction::Grant { customer } => {
                let body = json!({ "customer": customer });
                self.endpoint.call_and_print(Method::POST, "/v1/keys", body, print_granted_key)
            }
            KeyAction::Withdraw { key } => {
                let path = format!("/v1/keys/{key}");
                self.endpoint.call_and_print(Method::DELETE, &path, Value::Null, print_withdrawal)
            }
        }
    }
}

fn print_granted_key(answer: &Value) {
    println!("id  {}", answer["id"].as_str().unwrap_or_default());
    println!("key {}", answer["key"].as_str().unwrap_or_default());
    println!("The key is shown this once only.");
}

fn print_withdrawal(answer: &Value) {
    println!("withdrawn as revision {}", answer["revision"]);
    for (field, text) in [("in_force", "in force in"), ("not_reached", "NOT reached")] {
        if let Some(domains) = answer[field].as_array() {
            let names: Vec<_> = domains.iter().filter_map(Value::as_str).collect();
            println!("{text}: {}", if names.is_empty() { "none".into() } else { names.join(", ") });
        }
    }
}
