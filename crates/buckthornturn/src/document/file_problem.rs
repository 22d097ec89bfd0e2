//! Problems in files, with their positions.

use std::fmt::Display;
use std::fmt::Formatter;

/// One problem in a file. Displayed as `LINE:COLUMN: FIELD: REASON`, without the field if its path is empty.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FileProblem {
    /// Line number, counted from 1.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
    /// Path of the field from the root of the file, such as `objects[3].routes[0].path_prefix`; empty for the file itself.
    pub field: Box<str>,
    /// Reason for the operator, without the field.
    pub reason: Box<str>,
}

impl Display for FileProblem {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        let Self { line, column, field, reason } = self;
        match field.is_empty() {
            true => write!(formatter, "{line}:{column}: {reason}"),
            false => write!(formatter, "{line}:{column}: {field}: {reason}"),
        }
    }
}
