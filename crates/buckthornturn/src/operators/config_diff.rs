//! The difference between changes and what is in force.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::configuration::ConfigObject;
use crate::configuration::ConfigurationState;
use crate::interface::ConfigChange;

/// What one change would do.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChangeEffect {
    /// Kind of the object.
    pub kind: Box<str>,
    /// Name of the object.
    pub name: Box<str>,
    /// What happens to it.
    pub action: EffectAction,
    /// Fields that change, with the values before and after.
    pub fields: Vec<FieldEffect>,
}

/// What happens to an object.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EffectAction {
    /// It is new.
    Add,
    /// It changes.
    Change,
    /// It stays as it is.
    Keep,
    /// It goes.
    Remove,
    /// It should go but is not there.
    Missing,
}

/// What happens to a field.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct FieldEffect {
    /// Name of the field.
    pub field: Box<str>,
    /// Value in force; null if the field is new.
    pub before: Value,
    /// Value that would come in force; null if the field goes.
    pub after: Value,
}

/// Effects of changes on a state, in their order.
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
