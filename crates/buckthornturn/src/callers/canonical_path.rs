//! Canonical form of a path, by which the route of a request is found.

use std::borrow::Cow;

use http::Uri;
use percent_encoding::percent_decode_str;

/// Decodes a path as a target may read it, so that no alternative spelling of a path avoids its route. Path
/// parameters (`;name=value`) are removed. Returns `None` for paths that targets may read in different ways: dot
/// segments, empty segments, backslashes, encoded separators, double encoding, control characters or bytes that are
/// not UTF-8.
pub fn canonical_path(uri: &Uri) -> Option<Box<str>> {
    let raw = uri.path();
    if !raw.starts_with('/') {
        return None;
    }
    let mut path = String::with_capacity(raw.len());
    let mut segments = raw[1..].split('/').peekable();
    while let Some(segment) = segments.next() {
        let decoded = decode_segment(segment)?;
        let name = decoded.split(';').next().unwrap_or_default();
        let is_last = segments.peek().is_none();
        if name == "." || name == ".." || (name.is_empty() && !is_last) {
            return None;
        }
        path.push('/');
        path.push_str(name);
    }
    Some(path.into())
}

fn decode_segment(segment: &str) -> Option<Cow<'_, str>> {
    let decoded = percent_decode_str(segment).decode_utf8().ok()?;
    let is_unsafe =
        |character: char| character.is_control() || matches!(character, '/' | '\\' | '%');
    match decoded.contains(is_unsafe) {
        true => None,
        false => Some(decoded),
    }
}
