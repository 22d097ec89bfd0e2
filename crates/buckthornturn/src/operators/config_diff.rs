//! Comparison of requested changes with the configuration in force.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::configuration::ConfigObject;
use crate::configuration::ConfigurationState;
use crate::interface::ConfigChange;

/// Effect that one requested change has on the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChangeEffect {
    /// Kind of the changed object, as in configuration files.
    pub kind: Box<str>,
    /// Name of the changed object, unique within its kind.
    pub name: Box<str>,
    /// Whether the object is added, changed, kept or removed.
    pub action: EffectAction,
    /// Fields whose values differ; empty unless the action is `Change`.
    pub fields: Vec<FieldEffect>,
}

/// Action that a change takes on an object.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EffectAction {
    /// The object does not exist and is added.
    Add,
    /// The object exists and at least one field gets another value.
    Change,
    /// The object exists with exactly these values; nothing changes.
    Keep,
    /// The object exists and is removed.
    Remove,
    /// The object is to be removed but does not exist.
    Missing,
}

/// Change of one field of an object.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct FieldEffect {
    /// Name of the field, as in configuration files.
    pub field: Box<str>,
    /// Value in force; null if the object in force lacks the field.
    pub before: Value,
    /// Value after the change; null if the changed object lacks the field.
    pub after: Value,
}

/// Effects of changes on a state, in the order of the changes. Each change is compared with `state` itself, not with
/// the result of the changes before it.
pub fn change_effects(state: &ConfigurationState, changes: &[ConfigChange]) -> Vec<ChangeEffect> {
    changes.iter().map(|change| change_effect(state, change)).collect()
}

fn change_effect(state: &ConfigurationState, change: &ConfigChange) -> ChangeEffect {
    match change {
        ConfigChange::Put { object } => put_effect(state, object),
        ConfigChange::Remove { kind, name } => {
            let action = match state.object(kind, name) {
                Some(_) => EffectAction::Remove,
                None => EffectAction::Missing,
            };
            ChangeEffect { kind: kind.clone(), name: name.clone(), action, fields: Vec::new() }
        }
    }
}

fn put_effect(state: &ConfigurationState, object: &ConfigObject) -> ChangeEffect {
    let (kind, name): (Box<str>, _) = (object.kind().into(), object.name());
    let Some(current) = state.object(&kind, &name) else {
        return ChangeEffect { kind, name, action: EffectAction::Add, fields: Vec::new() };
    };
    let fields = field_effects(&current, object);
    let action = if fields.is_empty() { EffectAction::Keep } else { EffectAction::Change };
    ChangeEffect { kind, name, action, fields }
}

fn field_effects(current: &ConfigObject, next: &ConfigObject) -> Vec<FieldEffect> {
    let to_fields = |object| match serde_json::to_value(object) {
        Ok(Value::Object(map)) => map,
        _ => serde_json::Map::new(),
    };
    let (before, after) = (to_fields(current), to_fields(next));
    let removed_fields = before.keys().filter(|field| !after.contains_key(*field));
    after
        .keys()
        .chain(removed_fields)
        .map(|field| FieldEffect {
            field: field.as_str().into(),
            before: before.get(field).cloned().unwrap_or_default(),
            after: after.get(field).cloned().unwrap_or_default(),
        })
        .filter(|effect| effect.before != effect.after)
        .collect()
}
