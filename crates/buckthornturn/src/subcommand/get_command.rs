//! The `get` subcommand, which shows the configuration in force.

use http::Method;
use pico_args::Arguments;
use serde_json::Value;

use crate::error::Error;
use crate::error::RefusedSnafu;
use crate::error::UsageSnafu;
use crate::subcommand::operator_endpoint::OperatorEndpoint;
use crate::subcommand::usage_error;

/// Object kinds, each with the field of the whole configuration that lists its objects.
const OBJECT_KINDS: [(&str, &str); 11] = [
    ("domain", "domains"),
    ("service", "services"),
    ("target", "targets"),
    ("profile", "profiles"),
    ("assignment", "assignments"),
    ("customer", "customers"),
    ("link", "links"),
    ("group", "groups"),
    ("block", "blocks"),
    ("drain", "drains"),
    ("key", "keys"),
];

/// Arguments of `get`; without a kind it shows the whole configuration.
pub struct GetCommand {
    endpoint: OperatorEndpoint,
    list_field: Option<&'static str>,
    name: Option<Box<str>>,
}

impl GetCommand {
    /// Parses the arguments and checks the kind.
    pub(super) fn parse(arguments: &mut Arguments) -> Result<Self, Error> {
        let endpoint = OperatorEndpoint::parse(arguments)?;
        let kind: Option<String> = arguments.opt_free_from_str().map_err(usage_error)?;
        let name: Option<String> = arguments.opt_free_from_str().map_err(usage_error)?;
        let list_field = match kind {
            Some(kind) => match OBJECT_KINDS.iter().find(|(known, _)| *known == kind) {
                Some((_, list_field)) => Some(*list_field),
                None => return UsageSnafu { reason: format!("unknown kind `{kind}`") }.fail(),
            },
            None => None,
        };
        Ok(Self { endpoint, list_field, name: name.map(Into::into) })
    }

    /// Fetches the whole configuration from the host and prints the requested part.
    pub(super) fn run(self) -> Result<(), Error> {
        let state = self.endpoint.call(Method::GET, "/v1/configuration", Value::Null)?;
        let answer = match (self.list_field, &self.name) {
            (None, _) => &state,
            (Some(list_field), None) => &state[list_field],
            (Some(list_field), Some(name)) => match state[list_field].get(&**name) {
                Some(object) => object,
                None => {
                    return RefusedSnafu {
                        reason: format!("there is no `{name}`"),
                        problems: Vec::new(),
                    }
                    .fail();
                }
            },
        };
        match self.endpoint.is_json {
            true => println!("{answer}"),
            false => println!("{answer:#}"),
        }
        Ok(())
    }
}
