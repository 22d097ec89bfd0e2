//! JSON bodies of the platform store's answers. Each entry is decoded on its own, so that one that cannot be decoded hides
//! nothing but itself.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use serde::Deserialize;
use serde_json::Value;

use super::whole_number::whole_number;
use crate::json_extent::RawMembers;
use crate::json_extent::decode_json;
use crate::json_extent::decode_member;
use crate::json_extent::find_member;
use crate::json_extent::split_array;
use crate::json_extent::split_object;

/// Longest name of an object. Names go into heartbeats, which must fit in a datagram.
pub(super) const MAX_NAME_BYTES: usize = 512;

/// One object as the store returns it in lists and watch events.
#[derive(Clone, Debug)]
pub(super) struct StoreObject {
    pub(super) name: Box<str>,
    /// Store revision of the object's last change.
    pub(super) revision: u64,
    /// Whether the object is being deleted and only its finalizers keep it in the store.
    pub(super) deleting: bool,
    /// Body that the object's owner wrote, or why it cannot be decoded; its shape depends on the kind of the object.
    pub(super) spec: Result<Value, Box<str>>,
}

/// An entry without a name or a revision that can be decoded.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct UnnamedEntry {
    /// Hash of the entry's text, which tells its versions apart.
    pub(super) digest: u64,
    /// What is missing.
    pub(super) reason: &'static str,
}

/// One page of the objects of a kind.
#[derive(Debug)]
pub(super) struct ListAnswer {
    pub(super) items: Vec<Result<StoreObject, UnnamedEntry>>,
    /// Whether another page follows; it is requested with the name of the last item.
    pub(super) more: bool,
    /// Revision of the whole store when the page was read.
    pub(super) current_rev: u64,
}

/// Events of one watch call; empty if nothing changed before the call ended.
#[derive(Debug)]
pub(super) struct WatchAnswer {
    pub(super) events: Vec<Result<WatchEvent, UnnamedEntry>>,
    /// Revision from which the next watch call continues.
    pub(super) current_rev: u64,
}

#[derive(Debug)]
pub(super) struct WatchEvent {
    pub(super) deleted: bool,
    pub(super) object: StoreObject,
}

#[derive(Deserialize)]
struct Number(#[serde(deserialize_with = "whole_number")] u64);

impl ListAnswer {
    /// Decodes a page. The error says what of the page itself is missing.
    pub(super) fn decode(body: &[u8]) -> Result<Self, Box<str>> {
        let members = split_object(body).ok_or("the answer is no object")?;
        let items = elements(&members, "items")?;
        Ok(Self {
            items: items.into_iter().map(StoreObject::decode).collect(),
            more: match find_member(&members, "more") {
                Some(text) => decode_json(text).map_err(|reason| format!("more: {reason}"))?,
                None => false,
            },
            current_rev: current_revision(&members)?,
        })
    }
}

impl WatchAnswer {
    /// Decodes the events of a watch. The error says what of the answer itself is missing.
    pub(super) fn decode(body: &[u8]) -> Result<Self, Box<str>> {
        let members = split_object(body).ok_or("the answer is no object")?;
        let events = elements(&members, "events")?;
        Ok(Self {
            events: events.into_iter().map(WatchEvent::decode).collect(),
            current_rev: current_revision(&members)?,
        })
    }
}

impl WatchEvent {
    fn decode(text: &[u8]) -> Result<Self, UnnamedEntry> {
        let unnamed = |reason| UnnamedEntry::new(text, reason);
        let members = split_object(text).ok_or_else(|| unnamed("the event is no object"))?;
        let object = find_member(&members, "object").ok_or_else(|| unnamed("no object"))?;
        let deleted = match find_member(&members, "deleted") {
            Some(text) => decode_json(text).map_err(|_| unnamed("no readable `deleted`"))?,
            None => false,
        };
        let object = match deleted {
            true => StoreObject::decode_removed(object)?,
            false => StoreObject::decode(object)?,
        };
        Ok(Self { deleted, object })
    }
}

impl StoreObject {
    fn decode(text: &[u8]) -> Result<Self, UnnamedEntry> {
        let unnamed = |reason| UnnamedEntry::new(text, reason);
        let (members, metadata) = split_entry(text)?;
        let name = decode_name(&metadata).ok_or_else(|| unnamed("no readable name"))?;
        let revision = decode_member::<Number>(&metadata, "revision");
        let revision = revision.ok_or_else(|| unnamed("no readable revision"))?.0;
        let deleting = find_member(&metadata, "deleting").map_or(Ok(false), decode_json);
        let spec = find_member(&members, "spec").map_or(Ok(Value::Null), decode_json);
        let (deleting, spec) = match deleting {
            Ok(deleting) => (deleting, spec),
            Err(reason) => (false, Err(format!("metadata.deleting: {reason}").into())),
        };
        Ok(Self { name, revision, deleting, spec })
    }

    /// Decodes an object that was removed, of which only the name matters.
    fn decode_removed(text: &[u8]) -> Result<Self, UnnamedEntry> {
        let (_, metadata) = split_entry(text)?;
        let name =
            decode_name(&metadata).ok_or_else(|| UnnamedEntry::new(text, "no readable name"))?;
        let revision = decode_member::<Number>(&metadata, "revision").map_or(0, |number| number.0);
        Ok(Self { name, revision, deleting: true, spec: Ok(Value::Null) })
    }
}

impl UnnamedEntry {
    fn new(text: &[u8], reason: &'static str) -> Self {
        let mut hasher = DefaultHasher::new();
        text.hash(&mut hasher);
        Self { digest: hasher.finish(), reason }
    }
}

/// Members of an entry, and of its metadata.
fn split_entry(text: &[u8]) -> Result<(RawMembers<'_>, RawMembers<'_>), UnnamedEntry> {
    let members = split_object(text);
    let members = members.ok_or_else(|| UnnamedEntry::new(text, "the entry is no object"))?;
    let metadata = find_member(&members, "metadata").and_then(split_object);
    let metadata = metadata.ok_or_else(|| UnnamedEntry::new(text, "no readable metadata"))?;
    Ok((members, metadata))
}

fn decode_name(metadata: &RawMembers<'_>) -> Option<Box<str>> {
    let name: Box<str> = decode_member(metadata, "name")?;
    (name.len() <= MAX_NAME_BYTES).then_some(name)
}

fn elements<'a>(members: &RawMembers<'a>, key: &str) -> Result<Vec<&'a [u8]>, Box<str>> {
    let elements = find_member(members, key).and_then(split_array);
    elements.ok_or_else(|| format!("{key}: no readable list").into())
}

fn current_revision(members: &RawMembers<'_>) -> Result<u64, Box<str>> {
    let number = decode_member::<Number>(members, "current_rev");
    Ok(number.ok_or("current_rev: no readable revision")?.0)
}
