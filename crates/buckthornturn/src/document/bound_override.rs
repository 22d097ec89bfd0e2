//! Bounds of an entry host that are given on the command line.

use std::str::FromStr;

use serde_json::Number;

/// Value for a field of `bounds`, which takes the place of the one in the settings file. Parsed from `NAME=VALUE`.
#[derive(Clone, Debug, PartialEq)]
pub struct BoundOverride {
    /// Name of the field.
    pub name: Box<str>,
    /// Value of the field; `None` if nothing or `null` was given, so that the file or the default applies.
    pub value: Option<Number>,
}

impl FromStr for BoundOverride {
    type Err = Box<str>;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let Some((name, value)) = text.split_once('=').filter(|(name, _)| !name.is_empty()) else {
            return Err(format!("`{text}` is not of the form NAME=VALUE").into());
        };
        let value = match value {
            "" | "null" => None,
            value => {
                let number = serde_json::from_str(value);
                Some(number.map_err(|_| format!("{name}: `{value}` is not a number"))?)
            }
        };
        Ok(Self { name: name.into(), value })
    }
}
