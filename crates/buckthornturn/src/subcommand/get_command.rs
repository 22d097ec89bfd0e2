//! `get`: shows configuration.

use http::Method;
use pico_args::Arguments;
use serde_json::Value;

use crate::error::Error;
use crate::error::RefusedSnafu;
use crate::error::UsageSnafu;
use crate::subcommand::operator_link::OperatorLink;
use crate::subcommand::usage;

/// Kinds, with the names under which the whole configuration lists them.
const KINDS: [(&str, &str); 11] = [
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

/// `get`.
pub struct GetCommand {
    link: OperatorLink,
    kind: Option<&'static str>,
    name: Option<Box<str>>,
}

impl GetCommand {
    /// Reads the arguments.
    pub(super) fn parse(arguments: &mut Arguments) -> Result<Self, Error> {
        let link = OperatorLink::parse(arguments)?;
        let kind: Option<String> = arguments.opt_free_from_str().map_err(usage)?;
        let name: Option<String> = arguments.opt_free_from_str().map_err(usage)?;
        let kind = match kind {
            Some(kind) => match KINDS.iter().find(|(known, _)| *known == kind) {
                Some((_, list)) => Some(*list),
                None => return UsageSnafu { reason: format!("unknown kind `{kind}`") }.fail(),
            },
            None => None,
        };
        Ok(Self { link, kind, name: name.map(Into::into) })
    }

    /// Shows what was asked for.
    pub(super) fn run(self) -> Result<(), Error> {
        let state = self.link.call(Method::GET, "/v1/configuration", Value::Null)?;
        let answer = match (self.kind, &self.name) {
            (None, _) => &state,
            (Some(list), None) => &state[list],
            (Some(list), Some(name)) => match state[list].get(&**name) {
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
        match self.link.json {
            true => println!("{answer}"),
            false => println!("{answer:#}"),
        }
        Ok(())
    }
}
