//! Lines of a log.

/// Length of a timestamp such as `2026-07-17T03:25:07.213Z`, in bytes.
const TIMESTAMP_BYTES: usize = 24;
const LEVEL_NAMES: [&str; 5] = ["debug", "info", "warn", "error", "critical"];

/// One line of a host's log, taken apart.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LogLine<'a> {
    /// What stands before the line's own text, such as a host's name that a collector put there.
    pub prefix: &'a str,
    /// Time of day, as written.
    pub time: &'a str,
    /// Message, without its fields.
    pub message: &'a str,
    fields: &'a str,
}

impl<'a> LogLine<'a> {
    /// Takes a line apart; `None` if it is none of a host's log, or was cut.
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

    /// Value of a field.
    pub fn field(&self, name: &str) -> Option<&'a str> {
        self.fields().find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// Fields in their order.
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

/// Where the first `key=value` of a text begins.
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
