//! Settings files of entry hosts that run on the platform.

use indexmap::IndexSet;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;

use crate::document::BoundOverride;
use crate::document::FileProblem;
use crate::document::document_checker::DocumentChecker;
use crate::document::document_checker::parse_text;
use crate::settings::EntrySettings;

/// Top-level field that distinguishes settings of an entry host from all other files.
const PLATFORM_FIELD: &str = "platform";
const BOUNDS_FIELD: &str = "bounds";

/// Parser for settings files of entry hosts on the platform. Unknown fields are ignored, as the platform may add some.
pub struct EntryDocument;

impl EntryDocument {
    /// Parses the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns only the first problem of the file, with its position.
    pub fn parse(text: &str) -> Result<EntrySettings, Vec<FileProblem>> {
        Self::parse_with(text, &[])
    }

    /// Parses the text of a settings file in which bounds are replaced by those of the command line. A bound that is `null` counts
    /// as not stated.
    ///
    /// # Errors
    ///
    /// Returns only the first problem of the file, with its position. That of an override is reported at `bounds`.
    pub fn parse_with(
        text: &str,
        overrides: &[BoundOverride],
    ) -> Result<EntrySettings, Vec<FileProblem>> {
        let value = parse_text(text).map_err(|problem| vec![problem])?;
        let problem_at = |path: &str, reason: String| {
            let mut checker = DocumentChecker::new(text);
            checker.report(field_offset(&value, path), path, reason);
            checker.problems
        };
        let mut json: serde_json::Value = value.clone().into();
        let bounds = json.get_mut(BOUNDS_FIELD).and_then(serde_json::Value::as_object_mut);
        let stated = bounds.map(|bounds| merge_bounds(bounds, overrides)).unwrap_or_default();
        let mut settings: EntrySettings = serde_path_to_error::deserialize(json)
            .map_err(|error| problem_at(&error.path().to_string(), error.inner().to_string()))?;
        let known = settings.bounds.values();
        if let Some(unknown) = overrides.iter().find(|bound| !known.contains_key(&bound.name)) {
            let path = format!("{BOUNDS_FIELD}.{}", unknown.name);
            return Err(problem_at(&path, "unknown bound on the command line".to_owned()));
        }
        settings.default_bounds = known.into_keys().filter(|name| !stated.contains(name)).collect();
        Ok(settings)
    }

    /// Whether a text is an object with the field `platform`, which only settings of an entry host have.
    pub fn is_likely_settings(text: &str) -> bool {
        match parse_text(text) {
            Ok(Value::Object(root)) => root.get(PLATFORM_FIELD).is_some(),
            _ => false,
        }
    }
}

/// Replaces bounds of the file by those of the command line, and returns the names of all that are stated.
fn merge_bounds(
    bounds: &mut serde_json::Map<String, serde_json::Value>,
    overrides: &[BoundOverride],
) -> IndexSet<Box<str>> {
    for BoundOverride { name, value } in overrides {
        if let Some(number) = value {
            bounds.insert(name.to_string(), number.clone().into());
        }
    }
    bounds.retain(|_, value| !value.is_null());
    bounds.keys().map(|name| name.as_str().into()).collect()
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
