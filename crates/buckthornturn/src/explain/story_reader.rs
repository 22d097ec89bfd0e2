//! Reads logs once, and keeps what may belong to a request's story.

use std::io;
use std::io::BufRead;
use std::io::Read;
use std::path::Path;

use indexmap::IndexMap;

use crate::explain::LogLine;
use crate::explain::RequestStory;
use crate::explain::request_story::RequestScene;

/// Longest line that is read, in bytes; ours are well below. A longer one is none of ours.
const MAX_LINE_BYTES: u64 = 16 << 10;
/// Most hosts that are told apart; more than any fleet has. Lines of others count as unread.
const MAX_HOSTS: usize = 4_096;
/// Most lines of the request that are kept; one is usual.
const MAX_SCENES: usize = 64;
/// Most subjects that are remembered of one host: its targets, its dependencies and itself.
const MAX_SUBJECTS: usize = 8_192;

/// Reads logs of hosts for the lines of one request. The line of a request comes at its end, so that what its host believed
/// stands before it.
#[derive(Debug)]
pub struct StoryReader {
    request: Box<str>,
    hosts: IndexMap<Box<str>, HostScene>,
    scenes: Vec<RequestScene>,
    line: Vec<u8>,
    lines: u64,
    unread: u64,
    first: Option<Box<str>>,
    last: Option<Box<str>>,
}

/// What a host last said about each subject.
#[derive(Debug, Default)]
struct HostScene {
    name: Option<Box<str>>,
    beliefs: IndexMap<Box<str>, Box<str>>,
}

impl StoryReader {
    /// A reader for a request's identifier.
    pub fn new(request: &str) -> Self {
        Self {
            request: request.into(),
            hosts: IndexMap::new(),
            scenes: Vec::new(),
            line: Vec::new(),
            lines: 0,
            unread: 0,
            first: None,
            last: None,
        }
    }

    /// Reads one file. Bytes that are no text and lines that were cut are passed over and counted.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read.
    pub fn read(&mut self, path: &Path, input: &mut impl BufRead) -> io::Result<()> {
        let file = path.display().to_string();
        let mut line = std::mem::take(&mut self.line);
        while next_line(input, &mut line)? {
            self.lines += 1;
            let text = String::from_utf8_lossy(&line);
            match LogLine::parse(text.trim_end()) {
                Some(parsed) if self.take(&file, &parsed) => {}
                _ => self.unread += 1,
            }
        }
        self.line = line;
        Ok(())
    }

    /// What was found.
    pub fn story(self) -> RequestStory {
        RequestStory {
            request: self.request,
            scenes: self.scenes,
            lines: self.lines,
            unread: self.unread,
            span: self.first.zip(self.last),
        }
    }

    /// Bytes set aside for a line.
    #[cfg(test)]
    pub(super) fn line_capacity(&self) -> usize {
        self.line.capacity()
    }

    /// Hosts told apart.
    #[cfg(test)]
    pub(super) fn hosts(&self) -> usize {
        self.hosts.len()
    }

    /// Takes a line; returns whether its host is one of those told apart.
    fn take(&mut self, file: &str, line: &LogLine<'_>) -> bool {
        if self.first.as_deref().is_none_or(|first| line.time < first) {
            self.first = Some(line.time.into());
        }
        if self.last.as_deref().is_none_or(|last| line.time > last) {
            self.last = Some(line.time.into());
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
            host.beliefs.clear();
        }
        match line.field("request_id") {
            Some(request) if request == &*self.request && self.scenes.len() < MAX_SCENES => {
                self.scenes.push(host.scene(line));
            }
            Some(_) => {}
            None => host.note(line),
        }
        true
    }
}

/// Reads the next line, or nothing of one that is too long; returns whether there was one.
fn next_line(input: &mut impl BufRead, line: &mut Vec<u8>) -> io::Result<bool> {
    line.clear();
    input.by_ref().take(MAX_LINE_BYTES).read_until(b'\n', line)?;
    let is_cut = line.len() as u64 == MAX_LINE_BYTES && line.last() != Some(&b'\n');
    if is_cut {
        line.clear();
        input.skip_until(b'\n')?;
    }
    Ok(is_cut || !line.is_empty())
}

impl HostScene {
    fn note(&mut self, line: &LogLine<'_>) {
        let Some(subject) = subject_of(line) else { return };
        if self.beliefs.len() < MAX_SUBJECTS || self.beliefs.contains_key(&*subject) {
            self.beliefs.insert(subject, told(line));
        }
    }

    /// The line of the request, with what this host believed of the things that it names.
    fn scene(&self, line: &LogLine<'_>) -> RequestScene {
        let target = line.field("target").filter(|target| *target != "-");
        let is_near = |subject: &str| match subject.strip_prefix("target ") {
            Some(name) => Some(name) == target,
            None => true,
        };
        let near = self.beliefs.iter().filter(|(subject, _)| is_near(subject));
        RequestScene {
            host: self.name.clone().unwrap_or_default(),
            time: line.time.into(),
            message: line.message.into(),
            fields: line.fields().map(|(key, value)| (key.into(), value.into())).collect(),
            beliefs: near.map(|(_, told)| told.clone()).collect(),
        }
    }
}

/// What a line changes in a host's beliefs. A later line on the same subject replaces it.
fn subject_of(line: &LogLine<'_>) -> Option<Box<str>> {
    let named = |kind: &str, field: &str| {
        line.field(field).map(|name| format!("{kind} {name}").into_boxed_str())
    };
    match line.message {
        "target entry applied" | "target is gone" | "target may come back" => {
            named("target", "target")
        }
        "store lost" | "store regained" => named("store", "part"),
        "relay not reached, following the store" => named("relay", "part"),
        "history gone, reading again" => named("history", "part"),
        "configuration applied" => Some("configuration".into()),
        "host started" | "host is ready" | "host leaves" => Some(line.message.into()),
        _ => None,
    }
}

fn told(line: &LogLine<'_>) -> Box<str> {
    let fields: Vec<String> = line.fields().map(|(key, value)| format!("{key}={value}")).collect();
    format!("{} {} {}", line.time, line.message, fields.join(" ")).into()
}
