//! A settings file of an entry host on the platform.

use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;

use crate::document::FileProblem;
use crate::document::document_checker::DocumentChecker;
use crate::document::document_checker::parse_text;
use crate::settings::EntrySettings;

/// Field that only settings of an entry host on the platform have.
const PLATFORM_FIELD: &str = "platform";

/// A settings file of an entry host on the platform. Fields that are unknown are ignored, as the platform may add some.
pub struct EntryDocument;

impl EntryDocument {
    /// Reads a file's text.
    ///
    /// # Errors
    ///
    /// Returns the first problem of the file, with its place.
    pub fn parse(text: &str) -> Result<EntrySettings, Vec<FileProblem>> {
        let value = parse_text(text).map_err(|problem| vec![problem])?;
        let json: serde_json::Value = value.clone().into();
        serde_path_to_error::deserialize(json).map_err(|error| {
            let path = error.path().to_string();
            let mut checker = DocumentChecker::new(text);
            checker.report(field_offset(&value, &path), &path, error.inner().to_string());
            checker.problems
        })
    }

    /// Whether a text looks like settings of an entry host on the platform.
    pub fn is_likely_settings(text: &str) -> bool {
        match parse_text(text) {
            Ok(Value::Object(root)) => root.get(PLATFORM_FIELD).is_some(),
            _ => false,
        }
    }
}

/// Byte offset of the field with a path, or of the nearest field around it.
fn field_offset(root: &Value<'_>, path: &str) -> usize {
    let mut value = root;
    for name in path.split('.') {
        value = match value {
            Value::Object(object) => match object.get(name) {
                Some(property) => &property.value,
                None => break,
            },
            _ => break,
        };
    }
    value.range().start
}
