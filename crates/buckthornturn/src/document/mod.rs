//! Parsing of configuration and settings files in JSON with comments. Problems are reported with their positions.

mod bound_override;
mod config_document;
mod document_checker;
mod entry_document;
mod field_rule;
mod file_problem;
mod line_index;
mod object_rules;
mod settings_document;
mod settings_rules;

pub use bound_override::BoundOverride;
pub use config_document::ConfigDocument;
pub use config_document::ObjectRemoval;
pub use entry_document::EntryDocument;
pub use file_problem::FileProblem;
pub use settings_document::SettingsDocument;

#[cfg(test)]
mod tests;
