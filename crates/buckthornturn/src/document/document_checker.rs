//! Checks parsed JSON values against field rules and reports every problem with its position.

use std::net::SocketAddr;

use coordination::blocks::ClientBlock;
use indexmap::IndexMap;
use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonc_parser::ast::Array;
use jsonc_parser::ast::Object;
use jsonc_parser::ast::ObjectProp;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;

use crate::document::FileProblem;
use crate::document::field_rule::FieldKind;
use crate::document::field_rule::FieldRule;
use crate::document::line_index::LineIndex;

const MAX_NAME_CHARS: usize = 253;
const SHA256_HEX_CHARS: usize = 64;

/// Line and column of each field, both from 1, keyed by the field's path from the root.
pub(crate) type FieldPositions = IndexMap<Box<str>, (usize, usize)>;

/// Collects problems and field positions while it checks the values of a file.
pub(crate) struct DocumentChecker<'a> {
    line_index: LineIndex<'a>,
    /// Problems in the order in which they were found.
    pub(crate) problems: Vec<FileProblem>,
    /// Positions of the fields checked so far.
    pub(crate) field_positions: FieldPositions,
}

/// Parses JSON with comments and trailing commas, and no other extension. Fails on an empty file.
pub(crate) fn parse_text(text: &str) -> Result<Value<'_>, FileProblem> {
    let options = ParseOptions {
        allow_comments: true,
        allow_loose_object_property_names: false,
        allow_trailing_commas: true,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    };
    let problem = |offset: usize, reason: Box<str>| {
        let (line, column) = LineIndex::new(text).position(offset);
        FileProblem { line, column, field: "".into(), reason }
    };
    match jsonc_parser::parse_to_ast(text, &CollectOptions::default(), &options) {
        Ok(result) => result.value.ok_or_else(|| problem(0, "the file is empty".into())),
        Err(error) => {
            let reason = format!("not JSON: {}", error.kind());
            Err(problem(error.range().start, reason.into()))
        }
    }
}

impl<'a> DocumentChecker<'a> {
    /// Creates a checker for values parsed from a text; byte offsets refer to this text.
    pub(crate) fn new(text: &'a str) -> Self {
        Self {
            line_index: LineIndex::new(text),
            problems: Vec::new(),
            field_positions: FieldPositions::new(),
        }
    }

    /// Adds a problem at a byte offset; `field` is the path of the field from the root.
    pub(crate) fn report(&mut self, offset: usize, field: &str, reason: impl Into<Box<str>>) {
        let (line, column) = self.line_index.position(offset);
        let problem = FileProblem { line, column, field: field.into(), reason: reason.into() };
        self.problems.push(problem);
    }

    /// Checks the fields of an object against rules: types and bounds, and repeated, unknown and missing fields.
    pub(crate) fn check_object(&mut self, object: &Object<'_>, path: &str, rules: &[FieldRule]) {
        self.field_positions.insert(path.into(), self.line_index.position(object.range.start));
        for (index, property) in object.properties.iter().enumerate() {
            let name = property.name.as_str();
            let field = join_path(path, name);
            let preceding = &object.properties[..index];
            let rule = rules.iter().find(|rule| rule.name == name);
            match rule {
                _ if preceding.iter().any(|other| other.name.as_str() == name) => {
                    self.report(property.range.start, &field, "this field is given twice");
                }
                Some(rule) => self.check_property(property, &field, rule.kind),
                None => {
                    let known: Vec<_> = rules.iter().map(|rule| rule.name).collect();
                    let reason = format!("unknown field; known are {}", known.join(", "));
                    self.report(property.range.start, &field, reason);
                }
            }
        }
        for rule in rules.iter().filter(|rule| rule.required && object.get(rule.name).is_none()) {
            self.report(object.range.start, &join_path(path, rule.name), "this field is missing");
        }
    }

    fn check_property(&mut self, property: &ObjectProp<'_>, field: &str, kind: FieldKind) {
        self.field_positions
            .insert(field.into(), self.line_index.position(property.value.range().start));
        self.check_value(&property.value, field, kind);
    }

    fn check_value(&mut self, value: &Value<'_>, field: &str, kind: FieldKind) {
        let offset = value.range().start;
        match (kind, value) {
            (FieldKind::Object(rules), Value::Object(object)) => {
                self.check_object(object, field, rules);
            }
            (FieldKind::Objects { min, rules }, Value::Array(array)) => {
                self.check_count(array, field, min);
                self.check_elements(array, field, FieldKind::Object(rules));
            }
            (FieldKind::Names { min }, Value::Array(array)) => {
                self.check_count(array, field, min);
                self.check_elements(array, field, FieldKind::Name);
            }
            (FieldKind::Addresses, Value::Array(array)) => {
                self.check_elements(array, field, FieldKind::Address);
            }
            (FieldKind::Boolean, Value::BooleanLit(_)) => {}
            (FieldKind::Integer(..) | FieldKind::Number(..), Value::NumberLit(number)) => {
                if let Some(reason) = number_problem(number.value, kind) {
                    self.report(offset, field, reason);
                }
            }
            (_, Value::StringLit(text)) if is_text_kind(kind) => {
                if let Some(reason) = text_problem(&text.value, kind) {
                    self.report(offset, field, reason);
                }
            }
            _ => self.report(offset, field, format!("expected {}", describe_kind(kind))),
        }
    }

    fn check_count(&mut self, array: &Array<'_>, field: &str, min: usize) {
        if array.elements.len() < min {
            self.report(array.range.start, field, format!("needs at least {min} entry"));
        }
    }

    fn check_elements(&mut self, array: &Array<'_>, field: &str, kind: FieldKind) {
        for (index, element) in array.elements.iter().enumerate() {
            let field = format!("{field}[{index}]");
            self.field_positions
                .insert(field.as_str().into(), self.line_index.position(element.range().start));
            self.check_value(element, &field, kind);
        }
    }
}

/// Returns the path of a field of the object at `path`; the path of the root is empty.
pub(crate) fn join_path(path: &str, name: &str) -> Box<str> {
    match path.is_empty() {
        true => name.into(),
        false => format!("{path}.{name}").into(),
    }
}

fn is_text_kind(kind: FieldKind) -> bool {
    matches!(
        kind,
        FieldKind::Name
            | FieldKind::Path
            | FieldKind::Address
            | FieldKind::Block
            | FieldKind::Timestamp
            | FieldKind::Sha256
            | FieldKind::Choice(_)
    )
}

fn describe_kind(kind: FieldKind) -> Box<str> {
    match kind {
        FieldKind::Name => "text".into(),
        FieldKind::Path => "a path that starts with `/`".into(),
        FieldKind::Address => "an IP address and port, such as \"127.0.0.1:7101\"".into(),
        FieldKind::Block => "a block, such as \"192.0.2.0/24\"".into(),
        FieldKind::Timestamp => "a UTC time, such as \"2026-12-31T00:00:00Z\"".into(),
        FieldKind::Sha256 => "a SHA-256 of 64 lower-case hex digits".into(),
        FieldKind::Boolean => "true or false".into(),
        FieldKind::Integer(min, max) => format!("a whole number from {min} to {max}").into(),
        FieldKind::Number(above, max) => format!("a number above {above}, up to {max}").into(),
        FieldKind::Choice(words) => format!("one of {}", words.join(", ")).into(),
        FieldKind::Names { .. } => "a list of texts".into(),
        FieldKind::Addresses => "a list of addresses".into(),
        FieldKind::Object(_) => "an object".into(),
        FieldKind::Objects { .. } => "a list of objects".into(),
    }
}

fn number_problem(text: &str, kind: FieldKind) -> Option<Box<str>> {
    let is_valid = match kind {
        FieldKind::Integer(min, max) => {
            text.parse::<u64>().is_ok_and(|number| (min..=max).contains(&number))
        }
        FieldKind::Number(above, max) => {
            text.parse::<f64>().is_ok_and(|number| number > above && number <= max)
        }
        _ => false,
    };
    (!is_valid).then(|| format!("{text} is not {}", describe_kind(kind)).into())
}

fn text_problem(text: &str, kind: FieldKind) -> Option<Box<str>> {
    let is_valid = match kind {
        FieldKind::Name => {
            let is_short = text.chars().count() <= MAX_NAME_CHARS;
            !text.trim().is_empty() && is_short && !text.chars().any(char::is_control)
        }
        FieldKind::Path => {
            text.starts_with('/') && text.bytes().all(|byte| byte.is_ascii_graphic())
        }
        FieldKind::Address => text.parse::<SocketAddr>().is_ok(),
        FieldKind::Block => text.parse::<ClientBlock>().is_ok(),
        FieldKind::Timestamp => humantime::parse_rfc3339(text).is_ok(),
        FieldKind::Sha256 => {
            text.len() == SHA256_HEX_CHARS
                && text.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'))
        }
        FieldKind::Choice(words) => words.contains(&text),
        _ => false,
    };
    match (is_valid, kind) {
        (true, _) => None,
        (false, FieldKind::Name) => {
            Some("the text is empty, too long or has control characters".into())
        }
        (false, _) => Some(format!("`{text}` is not {}", describe_kind(kind)).into()),
    }
}
