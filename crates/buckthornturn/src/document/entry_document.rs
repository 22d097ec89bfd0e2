//! Settings files of entry hosts that run on the platform.

use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;

use crate::document::FileProblem;
use crate::document::document_checker::DocumentChecker;
use crate::document::document_checker::parse_text;
use crate::settings::EntrySettings;

/// Top-level field that distinguishes settings of an entry host from all other files.
const PLATFORM_FIELD: &str = "platform";

/// Parser for settings files of entry hosts on the platform. Unknown fields are ignored, as the platform may add some.
pub struct EntryDocument;

impl EntryDocument {
    /// Parses the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns only the first problem of the file, with its position.
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

    /// Whether a text is an object with the field `platform`, which only settings of an entry host have.
    pub fn is_likely_settings(text: &str) -> bool {
        match parse_text(text) {
            Ok(Value::Object(root)) => root.get(PLATFORM_FIELD).is_some(),
            _ => false,
        }
    }
}

/// Returns the byte offset of the field at a path, or of the innermost field around it that exists.
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
