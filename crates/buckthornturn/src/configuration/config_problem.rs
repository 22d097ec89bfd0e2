//! Violations of the rules between configuration objects.

use std::fmt::Display;
use std::fmt::Formatter;

use serde::Deserialize;
use serde::Serialize;

/// One violated rule of a configuration, with the object and field that violate it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigProblem {
    /// Kind of the object that violates the rule.
    pub kind: Box<str>,
    /// Name of that object.
    pub name: Box<str>,
    /// Path of the field within the object, such as `routes[0].name`.
    pub field: Box<str>,
    /// Reason for the operator, without the object and the field.
    pub reason: Box<str>,
}

impl Display for ConfigProblem {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        let Self { kind, name, field, reason } = self;
        write!(formatter, "{kind} `{name}`: {field}: {reason}")
    }
}
