//! Parses the text lines that `LineFormatter` writes.

/// Length of a timestamp such as `2026-07-17T03:25:07.213Z`, in bytes.
const TIMESTAMP_BYTES: usize = 24;
const LEVEL_NAMES: [&str; 5] = ["debug", "info", "warn", "error", "critical"];

/// One parsed line of a host's log. All parts borrow from the line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LogLine<'a> {
    /// Text before the timestamp, such as the host name that a log collector adds; empty without a collector.
    pub prefix: &'a str,
    /// Timestamp as written: RFC 3339 in UTC with milliseconds, so that text order is time order.
    pub time: &'a str,
    /// Message without its `key=value` fields.
    pub message: &'a str,
    fields: &'a str,
}

impl<'a> LogLine<'a> {
    /// Parses a line; `None` if it has no timestamp or no known level, as lines of other programs or truncated lines do.
    pub fn parse(line: &'a str) -> Option<Self> {
        let start = line.match_indices('T').find_map(|(at, _)| {
            let start = at.checked_sub("2026-07-17".len())?;
            is_timestamp(line.get(start..start + TIMESTAMP_BYTES)?).then_some(start)
        })?;
        let rest = line.get(start + TIMESTAMP_BYTES..)?.strip_prefix(' ')?;
        let (level, text) = rest.split_once(' ')?;
        if !LEVEL_NAMES.contains(&level) {
            return None;
        }
        let message_end = first_field_start(text).unwrap_or(text.len());
        Some(Self {
            prefix: line.get(..start)?.trim(),
            time: line.get(start..start + TIMESTAMP_BYTES)?,
            message: text.get(..message_end)?.trim_end(),
            fields: text.get(message_end..)?,
        })
    }

    /// Value of the first field with this name, without its quotes; `None` if there is none.
    pub fn field(&self, name: &str) -> Option<&'a str> {
        self.fields().find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// Names and values of all fields, in the order of the line. Escapes in quoted values are not decoded.
    pub fn fields(&self) -> impl Iterator<Item = (&'a str, &'a str)> + use<'a> {
        let mut rest = self.fields;
        std::iter::from_fn(move || {
            let (key, tail) = rest.split_once('=')?;
            let (value, tail) = match tail.strip_prefix('"') {
                Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
                None => tail.split_once(' ').unwrap_or((tail, "")),
            };
            rest = tail.trim_start();
            Some((key, value))
        })
    }
}

/// Byte offset of the first `key=value` field in a text; `None` if the text has no `=`.
fn first_field_start(text: &str) -> Option<usize> {
    let equals = text.find('=')?;
    Some(text.get(..equals)?.rfind(' ').map_or(0, |space| space + 1))
}

fn is_timestamp(text: &str) -> bool {
    text.bytes().enumerate().all(|(at, byte)| match at {
        4 | 7 => byte == b'-',
        10 => byte == b'T',
        13 | 16 => byte == b':',
        19 => byte == b'.',
        23 => byte == b'Z',
        _ => byte.is_ascii_digit(),
    })
}
