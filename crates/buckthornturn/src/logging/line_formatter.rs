//! Formats log records as text lines.

use std::fmt::Write;

use spdlog::Error;
use spdlog::Record;
use spdlog::StringBuf;
use spdlog::formatter::Formatter;
use spdlog::formatter::FormatterContext;

/// Formats a record as `time level message key=value ...`. A value that is empty or contains white space, quotes, `=`,
/// backslashes or control characters is quoted and escaped, so that no value can forge a line or a key.
#[derive(Clone, Debug, Default)]
pub struct LineFormatter;

impl Formatter for LineFormatter {
    fn format(
        &self,
        record: &Record,
        line: &mut StringBuf,
        _context: &mut FormatterContext,
    ) -> spdlog::Result<()> {
        write_line(record, line).map_err(Error::FormatRecord)
    }
}

fn write_line(record: &Record, line: &mut StringBuf) -> std::fmt::Result {
    let time = humantime::format_rfc3339_millis(record.time());
    let level = record.level().as_str();
    write!(line, "{time} {level} {}", record.payload().escape_debug())?;
    for (key, value) in record.key_values() {
        write!(line, " {}=", key.as_str())?;
        write_value(&value.to_string(), line)?;
    }
    line.write_char('\n')
}

fn write_value(value: &str, line: &mut StringBuf) -> std::fmt::Result {
    let is_plain =
        |character: char| !character.is_whitespace() && !matches!(character, '"' | '=' | '\\');
    match !value.is_empty() && value.chars().all(|c| is_plain(c) && !c.is_control()) {
        true => line.write_str(value),
        false => write!(line, "{value:?}"),
    }
}
