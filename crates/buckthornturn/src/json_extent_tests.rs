//! Tests of the extents of JSON values, also of those that a decoder rejects.

use proptest::prelude::*;
use serde_json::Value;

use super::find_member;
use super::split_array;
use super::split_object;

macro_rules! arrays {
    ($($name:ident: $text:expr => $elements:expr;)*) => {
        $(#[test] fn $name() {
            let elements: Option<Vec<&[u8]>> = $elements;
            assert_eq!(split_array($text), elements);
        })*
    };
}

arrays! {
    an_empty_array_has_no_elements: b" [ ] " => Some(vec![]);
    brackets_in_texts_do_not_count: br#"["]",{"[":"}\"]"}]"# =>
        Some(vec![br#""]""#, br#"{"[":"}\"]"}"#]);
    spaces_are_not_part_of_an_element: b"[ 1 ,\n2\t]" => Some(vec![b"1", b"2"]);
    half_of_a_surrogate_pair_ends_with_its_text: br#"["\ud800",2]"# =>
        Some(vec![br#""\ud800""#, b"2"]);
    bytes_that_are_not_utf_8_end_with_their_text: b"[\"\xff\",2]" => Some(vec![b"\"\xff\"", b"2"]);
    a_scalar_of_no_type_ends_at_the_comma: b"[nothing,-,1e400]" =>
        Some(vec![b"nothing", b"-", b"1e400"]);
    an_array_that_is_cut_off_is_none: b"[1,2" => None;
    an_array_that_is_cut_off_in_a_text_is_none: b"[1,\"2\\" => None;
    an_array_with_more_behind_it_is_none: b"[1] 2" => None;
    an_empty_element_is_none: b"[1,,2]" => None;
    an_object_is_no_array: b"{}" => None;
}

#[test]
fn deep_nesting_costs_no_stack() {
    let deep = [vec![b'['; 2_000_000], vec![b']'; 2_000_000]].concat();
    let text = [b"[", deep.as_slice(), b",7]"].concat();
    assert_eq!(split_array(&text), Some(vec![deep.as_slice(), b"7"]));
}

#[test]
fn members_are_found_by_key() {
    let members = split_object(br#"{"a": 1, "b": {"a": 2}, "c": "\ud800"}"#).unwrap();
    assert_eq!(find_member(&members, "b"), Some(br#"{"a": 2}"#.as_slice()));
    assert_eq!(find_member(&members, "c"), Some(br#""\ud800""#.as_slice()));
    assert_eq!(find_member(&members, "d"), None);
    assert!(split_object(br#"{"a" 1}"#).is_none());
    assert_eq!(split_object(b"{}"), Some(vec![]));
}

fn values() -> impl Strategy<Value = Value> {
    let leaves = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        any::<String>().prop_map(Value::from),
    ];
    leaves.prop_recursive(4, 32, 6, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..6).prop_map(Value::from),
            prop::collection::vec((any::<String>(), inner), 0..6)
                .prop_map(|members| Value::Object(members.into_iter().collect())),
        ]
    })
}

proptest! {
    /// Whatever a decoder accepts is split into the same values.
    #[test]
    fn elements_of_valid_arrays_are_those_that_a_decoder_finds(
        elements in prop::collection::vec(values(), 0..6), is_pretty in any::<bool>()
    ) {
        let array = Value::from(elements.clone());
        let text = if is_pretty { format!("{array:#}") } else { array.to_string() };
        let found = split_array(text.as_bytes()).unwrap();
        let decoded: Vec<Value> =
            found.iter().map(|element| serde_json::from_slice(element).unwrap()).collect();
        prop_assert_eq!(decoded, serde_json::from_str::<Vec<Value>>(&text).unwrap());
    }

    #[test]
    fn no_bytes_cause_a_panic(text in prop::collection::vec(any::<u8>(), 0..64)) {
        let _ = (split_array(&text), split_object(&text));
        let framed = [b"[".as_slice(), &text, b"]"].concat();
        let _ = split_array(&framed);
    }
}
