//! Settings files of hosts.

use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;

use crate::document::FileProblem;
use crate::document::document_checker::DocumentChecker;
use crate::document::document_checker::parse_text;
use crate::document::settings_rules::SETTINGS_RULES;
use crate::settings::HostSettings;

/// Parser for settings files of hosts. Unknown fields are errors.
pub struct SettingsDocument;

impl SettingsDocument {
    /// Parses the text of a settings file and checks every field.
    ///
    /// # Errors
    ///
    /// Returns every problem of the file, ordered by position.
    pub fn parse(text: &str) -> Result<HostSettings, Vec<FileProblem>> {
        let value = parse_text(text).map_err(|problem| vec![problem])?;
        let mut checker = DocumentChecker::new(text);
        let Value::Object(root) = &value else {
            checker.report(value.range().start, "", "expected an object");
            return Err(checker.problems);
        };
        checker.check_object(root, "", SETTINGS_RULES);
        checker.problems.sort_by_key(|problem| (problem.line, problem.column));
        if !checker.problems.is_empty() {
            return Err(checker.problems);
        }
        serde_json::from_value(value.into()).map_err(|error| {
            checker.report(0, "", error.to_string());
            checker.problems
        })
    }

    /// Whether a text is an object with the field `listeners` or `host`, which configuration files do not have.
    pub fn is_likely_settings(text: &str) -> bool {
        match parse_text(text) {
            Ok(Value::Object(root)) => {
                root.get("listeners").is_some() || root.get("host").is_some()
            }
            _ => false,
        }
    }
}
