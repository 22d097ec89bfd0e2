//! Comparison of requests on plain TCP sockets with what their callers sent.

use standin::body_check::BodyTally;
use standin::body_check::RequestStamp;
use standin::body_check::RunRequest;
use standin::body_check::STAMP_HEADER;

/// Header line that describes a request to the targets; the line is method and path with query.
pub fn stamp_line(line: &str, body: &str) -> String {
    let (method, target) = line.split_once(' ').unwrap_or((line, ""));
    let stamp = RequestStamp::keeping(method, target, &body.to_owned().into());
    format!("{STAMP_HEADER}: {stamp}")
}

/// Compares a request that a target has read, with the framing of its chunks.
pub fn compare_request(tally: &BodyTally, head: &str, body: &str) {
    let is_chunked = head.to_ascii_lowercase().contains("transfer-encoding: chunked");
    let joined = if is_chunked { join_chunks(body) } else { None };
    let header = |name: &str| {
        let mut lines = head.lines().filter_map(|line| line.split_once(": "));
        lines.find(|(key, _)| key.eq_ignore_ascii_case(name)).map_or("", |(_, value)| value)
    };
    let mut words = head.split(' ');
    tally.compare(RunRequest {
        id: header("x-request-id"),
        stamp: header(STAMP_HEADER),
        method: words.next().unwrap_or_default(),
        target: words.next().unwrap_or_default(),
        body: joined.as_deref().unwrap_or(body).as_bytes(),
    });
}

/// Content of a chunked body; `None` if its framing is invalid.
fn join_chunks(text: &str) -> Option<String> {
    let (mut joined, mut rest) = (String::new(), text);
    while let Some((size, after)) = rest.split_once("\r\n") {
        let size = usize::from_str_radix(size.split(';').next()?.trim(), 16).ok()?;
        joined += after.get(..size)?;
        rest = after[size..].strip_prefix("\r\n")?;
    }
    Some(joined)
}
