//! Tests of what a host takes over of the state that another host sends.

use serde_json::json;

use super::decode_batch;
use crate::interface::StateChange;
use crate::interface::StatePart;

/// A host that could not decode one change of another host took over none of them.
#[test]
fn a_change_that_cannot_be_decoded_hides_only_itself() {
    let changes = [
        json!({ "target_gone": "i-1" }).to_string(),
        json!({ "later_kind": 7 }).to_string(),
        r#"{"target_gone":"\ud800"}"#.to_owned(),
        r#"{"target":{"slots":1e400}}"#.to_owned(),
        json!({ "target_gone": "i-2" }).to_string(),
    ];
    let body = format!(
        r#"{{"revision":9,"era":1,"latest":8,"latest_era":1,"changes":[{}]}}"#,
        changes.join(",")
    );
    let batch = decode_batch(StatePart::Targets, body.as_bytes()).unwrap();
    let expected = ["i-1", "i-2"].map(|target| StateChange::TargetGone(target.into()));
    assert_eq!(batch.changes, expected);
    assert_eq!((batch.revision, batch.era, batch.latest, batch.unreadable), (9, 1, 8, 3));
}

/// The host would not read the configuration again once it can be decoded.
#[test]
fn a_configuration_that_cannot_be_decoded_is_not_the_latest() {
    let body = br#"{"revision":9,"latest":8,"changes":[{"configuration":{"number":1e400}}]}"#;
    let batch = decode_batch(StatePart::Configuration, body).unwrap();
    assert_eq!((batch.changes.len(), batch.latest, batch.unreadable), (0, 0, 1));
}

#[test]
fn a_body_without_changes_is_an_error() {
    assert!(decode_batch(StatePart::Targets, br#"{"revision":9,"latest":8}"#).is_err());
    assert!(decode_batch(StatePart::Targets, b"busy").is_err());
}
