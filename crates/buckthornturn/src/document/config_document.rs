//! Configuration files that `apply` and `check` read.

use jsonc_parser::ast::Array;
use jsonc_parser::ast::Object;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use serde::Deserialize;

use crate::configuration::ConfigObject;
use crate::configuration::ConfigProblem;
use crate::document::FileProblem;
use crate::document::document_checker::DocumentChecker;
use crate::document::document_checker::FieldPositions;
use crate::document::document_checker::join_path;
use crate::document::document_checker::parse_text;
use crate::document::object_rules::FILE_KINDS;
use crate::document::object_rules::REMOVAL_RULES;
use crate::document::object_rules::rules_for_kind;
use crate::interface::ConfigChange;

/// A parsed configuration file. Each field is valid by itself; rules between objects are not checked yet.
#[derive(Debug)]
pub struct ConfigDocument {
    objects: Vec<ConfigObject>,
    removals: Vec<ObjectRemoval>,
    field_positions: FieldPositions,
}

/// An entry of the list `remove`: an object that the file deletes.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct ObjectRemoval {
    /// Kind of the object to remove.
    pub kind: Box<str>,
    /// Name of the object to remove.
    pub name: Box<str>,
}

impl ConfigDocument {
    /// Parses the text of a file and checks every field.
    ///
    /// # Errors
    ///
    /// Returns every problem of single fields, ordered by position: syntax, unknown, missing and repeated fields, types and
    /// bounds, and objects that are given twice.
    pub fn parse(text: &str) -> Result<Self, Vec<FileProblem>> {
        let value = parse_text(text).map_err(|problem| vec![problem])?;
        let mut checker = DocumentChecker::new(text);
        let (objects, removals) = read_root(&mut checker, &value);
        match checker.problems.is_empty() {
            true => Ok(Self { objects, removals, field_positions: checker.field_positions }),
            false => {
                checker.problems.sort_by_key(|problem| (problem.line, problem.column));
                Err(checker.problems)
            }
        }
    }

    /// Returns the objects of the file in their order.
    pub fn objects(&self) -> &[ConfigObject] {
        &self.objects
    }

    /// Returns the changes that apply the file: first the removals, then the objects in their order.
    pub fn changes(&self) -> Vec<ConfigChange> {
        let removals = self.removals.iter().map(|removal| ConfigChange::Remove {
            kind: removal.kind.clone(),
            name: removal.name.clone(),
        });
        let objects =
            self.objects.iter().map(|object| ConfigChange::Put { object: object.clone() });
        removals.chain(objects).collect()
    }

    /// Converts a problem of the configuration to one with a position in this file. If the object is not in the file,
    /// the position is the start of the file.
    pub fn locate(&self, problem: &ConfigProblem) -> FileProblem {
        let index = self
            .objects
            .iter()
            .position(|object| object.kind() == &*problem.kind && object.name() == problem.name);
        let (path, reason) = match index {
            Some(index) => {
                (join_path(&format!("objects[{index}]"), &problem.field), problem.reason.clone())
            }
            None => ("".into(), problem.to_string().into()),
        };
        let (line, column) = self.position_of(&path);
        FileProblem { line, column, field: path, reason }
    }

    /// Returns line and column of a field, or of the innermost field around it that has a position.
    fn position_of(&self, path: &str) -> (usize, usize) {
        let mut path = path;
        loop {
            if let Some(position) = self.field_positions.get(path) {
                return *position;
            }
            path = match path.rfind(['.', '[']) {
                Some(end) => &path[..end],
                None => return (1, 1),
            };
        }
    }
}

fn read_root(
    checker: &mut DocumentChecker<'_>,
    value: &Value<'_>,
) -> (Vec<ConfigObject>, Vec<ObjectRemoval>) {
    let (mut objects, mut removals) = (Vec::new(), Vec::new());
    let Value::Object(root) = value else {
        checker.report(value.range().start, "", "expected an object with `objects`");
        return (objects, removals);
    };
    for property in &root.properties {
        let offset = property.range.start;
        match (property.name.as_str(), &property.value) {
            ("objects", Value::Array(array)) => objects = read_objects(checker, array),
            ("remove", Value::Array(array)) => removals = read_removals(checker, array),
            (name @ ("objects" | "remove"), _) => checker.report(offset, name, "expected a list"),
            (name, _) => checker.report(offset, name, "unknown field; known are objects, remove"),
        }
    }
    if root.get("objects").is_none() && root.get("remove").is_none() {
        checker.report(root.range.start, "objects", "this field is missing");
    }
    (objects, removals)
}

fn read_objects(checker: &mut DocumentChecker<'_>, array: &Array<'_>) -> Vec<ConfigObject> {
    let mut objects: Vec<ConfigObject> = Vec::new();
    for (index, element) in array.elements.iter().enumerate() {
        let path = format!("objects[{index}]");
        let Value::Object(object) = element else {
            checker.report(element.range().start, &path, "expected an object");
            continue;
        };
        let Some(parsed_object) = read_object(checker, object, &path) else { continue };
        let is_same = |other: &ConfigObject| {
            other.kind() == parsed_object.kind() && other.name() == parsed_object.name()
        };
        if objects.iter().any(is_same) {
            let reason =
                format!("{} `{}` is given twice", parsed_object.kind(), parsed_object.name());
            checker.report(object.range.start, &path, reason);
        }
        objects.push(parsed_object);
    }
    objects
}

fn read_object(
    checker: &mut DocumentChecker<'_>,
    object: &Object<'_>,
    path: &str,
) -> Option<ConfigObject> {
    let kind = object.get_string("kind").map(|text| text.value.to_string()).unwrap_or_default();
    let Some(rules) = rules_for_kind(&kind) else {
        let offset = object.get("kind").map_or(object.range.start, |kind| kind.value.range().start);
        let reason = format!("expected one of {}", FILE_KINDS.join(", "));
        checker.report(offset, &join_path(path, "kind"), reason);
        return None;
    };
    let count_before = checker.problems.len();
    checker.check_object(object, path, rules);
    if checker.problems.len() > count_before {
        return None;
    }
    let value: serde_json::Value = Value::Object(object.clone()).into();
    match serde_json::from_value(value) {
        Ok(object) => Some(object),
        Err(error) => {
            checker.report(object.range.start, path, error.to_string());
            None
        }
    }
}

fn read_removals(checker: &mut DocumentChecker<'_>, array: &Array<'_>) -> Vec<ObjectRemoval> {
    let mut removals = Vec::new();
    for (index, element) in array.elements.iter().enumerate() {
        let path = format!("remove[{index}]");
        let Value::Object(object) = element else {
            checker.report(element.range().start, &path, "expected an object");
            continue;
        };
        checker.check_object(object, &path, REMOVAL_RULES);
        if let (Some(kind), Some(name)) = (object.get_string("kind"), object.get_string("name")) {
            let (kind, name) = (kind.value.as_ref().into(), name.value.as_ref().into());
            removals.push(ObjectRemoval { kind, name });
        }
    }
    removals
}
