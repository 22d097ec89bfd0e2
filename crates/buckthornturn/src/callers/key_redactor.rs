//! Removal of callers' keys from everything that is sent to a target.

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Uri;
use http::header;
use http::uri::PathAndQuery;
use percent_encoding::percent_decode;

use crate::callers::KEY_PREFIX;
use crate::configuration::ConfigurationState;

/// Finds keys in texts: the caller's own key and any other that contains the identifier of a key in the
/// configuration, including withdrawn ones.
pub struct KeyRedactor<'a> {
    state: &'a ConfigurationState,
}

impl<'a> KeyRedactor<'a> {
    /// Creates a redactor for the keys in `state`.
    pub fn new(state: &'a ConfigurationState) -> Self {
        Self { state }
    }

    /// Whether a text contains a key, in plain form or percent-encoded.
    pub fn contains_key_text(&self, text: &[u8]) -> bool {
        match text.contains(&b'%') {
            true => {
                let decoded: Vec<u8> = percent_decode(text).collect();
                self.contains_plain_key(&decoded) || self.contains_plain_key(text)
            }
            false => self.contains_plain_key(text),
        }
    }

    fn contains_plain_key(&self, text: &[u8]) -> bool {
        let prefix = KEY_PREFIX.as_bytes();
        let starts = text.windows(prefix.len()).enumerate().filter(|(_, part)| *part == prefix);
        starts.map(|(at, _)| &text[at + prefix.len()..]).any(|rest| {
            let id = rest.split(|byte| *byte == b'_').next().unwrap_or_default();
            std::str::from_utf8(id).is_ok_and(|id| self.state.keys.contains_key(id))
        })
    }

    /// Removes `Authorization`, and headers and cookies that contain a key in their name or value.
    pub fn redact_headers(&self, headers: &mut HeaderMap) {
        headers.remove(header::AUTHORIZATION);
        let with_key_in_value: Vec<HeaderName> = headers
            .iter()
            .filter(|(_, value)| self.contains_key_text(value.as_bytes()))
            .map(|(name, _)| name.clone())
            .collect();
        for name in with_key_in_value {
            match name == header::COOKIE {
                true => self.redact_cookies(headers),
                false => drop(headers.remove(name)),
            }
        }
        let with_key_in_name: Vec<HeaderName> = headers
            .keys()
            .filter(|name| self.contains_key_text(name.as_str().as_bytes()))
            .cloned()
            .collect();
        for name in with_key_in_name {
            headers.remove(name);
        }
    }

    fn redact_cookies(&self, headers: &mut HeaderMap) {
        let values: Vec<HeaderValue> = headers.get_all(header::COOKIE).iter().cloned().collect();
        headers.remove(header::COOKIE);
        for value in values {
            let kept: Vec<&[u8]> = value
                .as_bytes()
                .split(|byte| *byte == b';')
                .filter(|cookie| !self.contains_key_text(cookie))
                .collect();
            match HeaderValue::from_bytes(kept.join(&b';').trim_ascii()) {
                Ok(value) if !value.is_empty() => drop(headers.append(header::COOKIE, value)),
                _ => {}
            }
        }
    }

    /// Returns path and query without the query parameters that contain a key; `None` if the path itself contains
    /// one.
    pub fn redact_uri(&self, uri: &Uri) -> Option<Uri> {
        let path = uri.path();
        if self.contains_key_text(path.as_bytes()) {
            return None;
        }
        let query = match uri.query() {
            Some(query) if self.contains_key_text(query.as_bytes()) => {
                let kept: Vec<&str> = query
                    .split('&')
                    .filter(|pair| !self.contains_key_text(pair.as_bytes()))
                    .collect();
                Some(kept.join("&")).filter(|query| !self.contains_key_text(query.as_bytes()))
            }
            query => query.map(str::to_owned),
        };
        let text = match query {
            Some(query) if query.is_empty() && uri.query() != Some("") => path.to_owned(),
            Some(query) => format!("{path}?{query}"),
            None => path.to_owned(),
        };
        PathAndQuery::try_from(text).ok().map(Uri::from)
    }
}
