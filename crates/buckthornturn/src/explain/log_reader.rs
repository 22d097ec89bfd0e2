//! Collects the lines of one request, and what its hosts had logged before, in a single pass over log files.

use std::io;
use std::io::BufRead;
use std::io::Read;
use std::path::Path;

use indexmap::IndexMap;

use crate::explain::LogLine;
use crate::explain::RequestReport;
use crate::explain::request_report::RequestEvent;

/// Maximum length of a line in bytes. Hosts write much shorter lines, so that a longer one is from elsewhere and is skipped.
const MAX_LINE_BYTES: u64 = 16 << 10;
/// Maximum number of hosts tracked; more than any fleet has. Lines of further hosts count as skipped.
const MAX_HOSTS: usize = 4_096;
/// Maximum number of lines kept for the request; usually there is one.
const MAX_REQUEST_EVENTS: usize = 64;
/// Maximum number of subjects tracked for one host: its targets, its dependencies and the host itself.
const MAX_SUBJECTS_PER_HOST: usize = 8_192;

/// Searches logs of hosts for the lines of one request. A host logs a request when it ends, so that the events which led to its
/// decision precede the line.
#[derive(Debug)]
pub struct LogReader {
    request: Box<str>,
    hosts: IndexMap<Box<str>, HostState>,
    events: Vec<RequestEvent>,
    line_buffer: Vec<u8>,
    lines_read: u64,
    skipped_lines: u64,
    first_time: Option<Box<str>>,
    last_time: Option<Box<str>>,
}

/// Latest logged event of a host on each subject, such as a target or a part of the store.
#[derive(Debug, Default)]
struct HostState {
    name: Option<Box<str>>,
    latest_events: IndexMap<Box<str>, Box<str>>,
}

impl LogReader {
    /// Creates a reader for the request with this identifier, the `request_id` of log lines.
    pub fn new(request: &str) -> Self {
        Self {
            request: request.into(),
            hosts: IndexMap::new(),
            events: Vec::new(),
            line_buffer: Vec::new(),
            lines_read: 0,
            skipped_lines: 0,
            first_time: None,
            last_time: None,
        }
    }

    /// Reads one log file; may be called for several files. Lines that cannot be parsed are skipped and counted. `path` only
    /// identifies the file.
    ///
    /// # Errors
    ///
    /// Returns the error of `input`; lines read before it are kept.
    pub fn read(&mut self, path: &Path, input: &mut impl BufRead) -> io::Result<()> {
        let file = path.display().to_string();
        let mut line = std::mem::take(&mut self.line_buffer);
        while read_next_line(input, &mut line)? {
            self.lines_read += 1;
            let text = String::from_utf8_lossy(&line);
            match LogLine::parse(text.trim_end()) {
                Some(parsed) if self.apply_line(&file, &parsed) => {}
                _ => self.skipped_lines += 1,
            }
        }
        self.line_buffer = line;
        Ok(())
    }

    /// Returns the report on all files read so far.
    pub fn into_report(self) -> RequestReport {
        RequestReport {
            request: self.request,
            events: self.events,
            lines_read: self.lines_read,
            skipped_lines: self.skipped_lines,
            time_range: self.first_time.zip(self.last_time),
        }
    }

    /// Number of bytes allocated for the line buffer.
    #[cfg(test)]
    pub(super) fn line_capacity(&self) -> usize {
        self.line_buffer.capacity()
    }

    /// Number of hosts tracked, at most `MAX_HOSTS`.
    #[cfg(test)]
    pub(super) fn host_count(&self) -> usize {
        self.hosts.len()
    }

    /// Processes a parsed line; returns `false` if its host is over the limit of tracked hosts.
    fn apply_line(&mut self, file: &str, line: &LogLine<'_>) -> bool {
        if self.first_time.as_deref().is_none_or(|first| line.time < first) {
            self.first_time = Some(line.time.into());
        }
        if self.last_time.as_deref().is_none_or(|last| line.time > last) {
            self.last_time = Some(line.time.into());
        }
        let collector_name = line.prefix.split_whitespace().next_back().unwrap_or_default();
        let key = format!("{file} {collector_name}").into_boxed_str();
        if self.hosts.len() >= MAX_HOSTS && !self.hosts.contains_key(&key) {
            return false;
        }
        let host = self.hosts.entry(key).or_default();
        if host.name.is_none() {
            let name = if collector_name.is_empty() { file } else { collector_name };
            host.name = Some(name.into());
        }
        if let (Some(name), "host started") = (line.field("host"), line.message) {
            host.name = Some(name.into());
            host.latest_events.clear();
        }
        match line.field("request_id") {
            Some(request)
                if request == &*self.request && self.events.len() < MAX_REQUEST_EVENTS =>
            {
                self.events.push(host.request_event(line));
            }
            Some(_) => {}
            None => host.record_event(line),
        }
        true
    }
}

/// Reads the next line into `line`, which stays empty for a line that is too long. Returns `false` at the end of the input.
fn read_next_line(input: &mut impl BufRead, line: &mut Vec<u8>) -> io::Result<bool> {
    line.clear();
    input.by_ref().take(MAX_LINE_BYTES).read_until(b'\n', line)?;
    let is_cut = line.len() as u64 == MAX_LINE_BYTES && line.last() != Some(&b'\n');
    if is_cut {
        line.clear();
        input.skip_until(b'\n')?;
    }
    Ok(is_cut || !line.is_empty())
}

impl HostState {
    /// Records a line as the latest event on its subject; ignores lines without a known subject.
    fn record_event(&mut self, line: &LogLine<'_>) {
        let Some(subject) = event_subject(line) else { return };
        if self.latest_events.len() < MAX_SUBJECTS_PER_HOST
            || self.latest_events.contains_key(&*subject)
        {
            self.latest_events.insert(subject, event_text(line));
        }
    }

    /// Creates an event from a line of the request, with the latest events of this host. Events on targets other than the
    /// request's own are left out.
    fn request_event(&self, line: &LogLine<'_>) -> RequestEvent {
        let target = line.field("target").filter(|target| *target != "-");
        let is_relevant = |subject: &str| match subject.strip_prefix("target ") {
            Some(name) => Some(name) == target,
            None => true,
        };
        let relevant = self.latest_events.iter().filter(|(subject, _)| is_relevant(subject));
        RequestEvent {
            host: self.name.clone().unwrap_or_default(),
            time: line.time.into(),
            message: line.message.into(),
            fields: line.fields().map(|(key, value)| (key.into(), value.into())).collect(),
            host_events: relevant.map(|(_, event)| event.clone()).collect(),
        }
    }
}

/// Subject of a line, on which only the latest event is kept; `None` for messages that do not help to explain a request.
fn event_subject(line: &LogLine<'_>) -> Option<Box<str>> {
    let subject = |kind: &str, field: &str| {
        line.field(field).map(|name| format!("{kind} {name}").into_boxed_str())
    };
    match line.message {
        "target entry applied" | "target is gone" | "target may come back" => {
            subject("target", "target")
        }
        "store lost" | "store regained" => subject("store", "part"),
        "relay not reached, following the store" => subject("relay", "part"),
        "history gone, reading again" => subject("history", "part"),
        "configuration applied" => Some("configuration".into()),
        "host started" | "host is ready" | "host leaves" => Some(line.message.into()),
        _ => None,
    }
}

/// Text of an event for the report: its time, message and fields.
fn event_text(line: &LogLine<'_>) -> Box<str> {
    let fields: Vec<String> = line.fields().map(|(key, value)| format!("{key}={value}")).collect();
    format!("{} {} {}", line.time, line.message, fields.join(" ")).into()
}
