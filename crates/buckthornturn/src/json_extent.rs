//! Finds where the values of a JSON text begin and end, without decoding them. A value that a decoder rejects, such as half of
//! a surrogate pair or a number beyond a double, then hides nothing but itself.

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Deserializer;

#[cfg(test)]
#[path = "json_extent_tests.rs"]
mod tests;

/// Members of an object in the order of the text, each with its key as it is written, quotes included.
pub(crate) type RawMembers<'a> = Vec<(&'a [u8], &'a [u8])>;

/// Reads a text from its start. Nesting is counted and not recursed into, so that its depth costs no stack.
struct ExtentReader<'a> {
    text: &'a [u8],
    at: usize,
}

/// Returns the members of an object; `None` if the text is not one object.
pub(crate) fn split_object(text: &[u8]) -> Option<RawMembers<'_>> {
    let mut reader = ExtentReader { text, at: 0 };
    let mut members = Vec::new();
    reader.skip_byte(b'{')?;
    if reader.skip_byte(b'}').is_none() {
        loop {
            let key = reader.string()?;
            reader.skip_byte(b':')?;
            members.push((key, reader.value()?));
            if reader.skip_byte(b',').is_none() {
                reader.skip_byte(b'}')?;
                break;
            }
        }
    }
    reader.is_at_end().then_some(members)
}

/// Returns the elements of an array; `None` if the text is not one array.
pub(crate) fn split_array(text: &[u8]) -> Option<Vec<&[u8]>> {
    let mut reader = ExtentReader { text, at: 0 };
    let mut elements = Vec::new();
    reader.skip_byte(b'[')?;
    if reader.skip_byte(b']').is_none() {
        loop {
            elements.push(reader.value()?);
            if reader.skip_byte(b',').is_none() {
                reader.skip_byte(b']')?;
                break;
            }
        }
    }
    reader.is_at_end().then_some(elements)
}

/// Returns the text of a member by its key, which must be written without escapes.
pub(crate) fn find_member<'a>(members: &RawMembers<'a>, key: &str) -> Option<&'a [u8]> {
    let is_key = |raw: &[u8]| raw.get(1..raw.len() - 1) == Some(key.as_bytes());
    members.iter().find(|(raw, _)| is_key(raw)).map(|(_, value)| *value)
}

/// Decodes the member of an object; `None` if it is absent or cannot be decoded.
pub(crate) fn decode_member<T: DeserializeOwned>(members: &RawMembers<'_>, key: &str) -> Option<T> {
    serde_json::from_slice(find_member(members, key)?).ok()
}

/// Decodes a text. The error has the place in the value and the reason.
pub(crate) fn decode_json<'a, T: Deserialize<'a>>(text: &'a [u8]) -> Result<T, Box<str>> {
    let mut json = Deserializer::from_slice(text);
    let decoded = serde_path_to_error::deserialize(&mut json)
        .map_err(|error| Box::from(format!("{}: {}", error.path(), error.inner())))?;
    json.end().map_err(|error| Box::from(error.to_string()))?;
    Ok(decoded)
}

/// Decodes the elements of an array that can be decoded, and counts the others.
pub(crate) fn decode_elements<T: DeserializeOwned>(text: &[u8]) -> Option<(Vec<T>, u64)> {
    let elements = split_array(text)?;
    let count = elements.len();
    let decoded: Vec<T> =
        elements.into_iter().filter_map(|element| serde_json::from_slice(element).ok()).collect();
    let unreadable = (count - decoded.len()) as u64;
    Some((decoded, unreadable))
}

impl<'a> ExtentReader<'a> {
    fn skip_space(&mut self) {
        while matches!(self.text.get(self.at), Some(b' ' | b'\t' | b'\n' | b'\r')) {
            self.at += 1;
        }
    }

    fn skip_byte(&mut self, byte: u8) -> Option<()> {
        self.skip_space();
        (*self.text.get(self.at)? == byte).then(|| self.at += 1)
    }

    fn is_at_end(&mut self) -> bool {
        self.skip_space();
        self.at == self.text.len()
    }

    fn string(&mut self) -> Option<&'a [u8]> {
        self.skip_space();
        let start = self.at;
        self.skip_byte(b'"')?;
        loop {
            match *self.text.get(self.at)? {
                b'\\' => self.at += 2,
                b'"' => break,
                _ => self.at += 1,
            }
        }
        self.at += 1;
        Some(&self.text[start..self.at])
    }

    fn value(&mut self) -> Option<&'a [u8]> {
        self.skip_space();
        let start = self.at;
        match *self.text.get(self.at)? {
            b'"' => return self.string(),
            b'{' | b'[' => self.skip_nested()?,
            _ => {
                while !matches!(
                    self.text.get(self.at)?,
                    b',' | b']' | b'}' | b' ' | b'\t' | b'\n' | b'\r'
                ) {
                    self.at += 1;
                }
            }
        }
        (self.at > start).then(|| &self.text[start..self.at])
    }

    /// Skips an object or an array up to the bracket that closes it.
    fn skip_nested(&mut self) -> Option<()> {
        let mut depth = 0_usize;
        loop {
            match *self.text.get(self.at)? {
                b'"' => {
                    self.string()?;
                    continue;
                }
                b'{' | b'[' => depth += 1,
                b'}' | b']' => depth -= 1,
                _ => {}
            }
            self.at += 1;
            if depth == 0 {
                return Some(());
            }
        }
    }
}
