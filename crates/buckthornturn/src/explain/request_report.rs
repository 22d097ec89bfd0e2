//! The story of one request, as an engineer reads it.

use std::fmt;

use indexmap::IndexMap;

/// A host's line of a request, with what the host believed then.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestEvent {
    pub(super) host: Box<str>,
    pub(super) time: Box<str>,
    pub(super) message: Box<str>,
    pub(super) fields: IndexMap<Box<str>, Box<str>>,
    pub(super) host_events: Vec<Box<str>>,
}

/// The story of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestReport {
    pub(super) request: Box<str>,
    pub(super) events: Vec<RequestEvent>,
    pub(super) lines_read: u64,
    pub(super) skipped_lines: u64,
    pub(super) time_range: Option<(Box<str>, Box<str>)>,
}

impl RequestReport {
    /// Whether any line tells of the request.
    pub fn is_found(&self) -> bool {
        !self.events.is_empty()
    }
}

impl RequestEvent {
    fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("-", |value| value)
    }

    fn number_field(&self, name: &str) -> u64 {
        self.field(name).parse().unwrap_or(0)
    }

    /// Why it ended so, in a sentence.
    fn explain_outcome(&self) -> String {
        let (wait, pressure) = (self.field("wait_ms"), self.field("pressure"));
        let (sent, expected) = (self.number_field("sent"), self.field("expected_ms"));
        match self.field("reason") {
            "answered" if self.field("status").starts_with('2') => "the target answered".into(),
            "answered" => "the target itself answered with this status; its own log says why".into(),
            "busy" => format!(
                "refused before it was sent: the shortest wait at any target was put at {wait} ms, with {pressure} requests for \
                 each slot of the region"
            ),
            "rate-exceeded" => format!("refused for its customer's limit: {}", self.explain_tokens()),
            "no-target" => "refused before it was sent: this host knew no target that may run it".into(),
            "no-configuration" => "refused: this host had not read a configuration yet".into(),
            "no-service" => "refused: the route names no service with a weight".into(),
            "timeout" if sent == 0 => "its time was over before it was sent to a target".into(),
            "timeout" => format!(
                "its time was over while a target had it, and it may have run; the answer had been expected after {expected} ms"
            ),
            "target-shed" => "every target tried was full and ran nothing of it".into(),
            "target-replaced" => "another target has the address now and ran nothing of it".into(),
            "target-unreachable" | "target-closed" => {
                "no connection to the targets tried could be opened; none of it was sent".into()
            }
            "target-failed" => {
                "the connection to the target broke after it was sent; it may have run, and was not sent again unless the route \
                 allows that"
                    .into()
            }
            reason if reason.starts_with("answer-") => {
                format!("the target's answer could not be the caller's ({reason}); it may have run")
            }
            reason if reason.starts_with("body-") => format!("the caller's body ended it ({reason})"),
            reason => format!("ended with `{reason}`"),
        }
    }

    fn explain_tokens(&self) -> &'static str {
        match self.field("tokens") {
            "keeper-refused" => "the keeper of its tokens had none left",
            "own" => "this host keeps its tokens and had none left",
            "reserve-unanswered" => {
                "the keeper of its tokens did not answer, and the reserve was used up"
            }
            "reserve-no-keeper" => {
                "the host asked keeps none of its tokens, as after a start, and the reserve was used up"
            }
            _ => "the log does not say where tokens were asked for",
        }
    }
}

impl fmt::Display for RequestEvent {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.fields.contains_key("status") {
            let fields = self.fields.iter().map(|(name, value)| format!(" {name}={value}"));
            let fields = fields.collect::<String>();
            return writeln!(formatter, "{} at {}: {}{fields}", self.time, self.host, self.message);
        }
        writeln!(formatter, "{} at {}: {}", self.time, self.host, self.message)?;
        let took = self.field("took_ms");
        writeln!(
            formatter,
            "  status {}, {took} ms after it came: {}",
            self.field("status"),
            self.explain_outcome()
        )?;
        writeln!(
            formatter,
            "  route {}, customer {}, service {}, configuration {}, state heard of {} ms before",
            self.field("route"),
            self.field("customer"),
            self.field("service"),
            self.field("version"),
            self.field("state_age_ms"),
        )?;
        match self.field("target") {
            "-" => writeln!(formatter, "  sent to no target")?,
            target => writeln!(
                formatter,
                "  last target {target}: {} tried, {} sent to, {} requests believed there, wait put at {} ms, answer at {} ms",
                self.field("tries"),
                self.field("sent"),
                self.field("load"),
                self.field("wait_ms"),
                self.field("expected_ms"),
            )?,
        }
        if self.number_field("pause_ms") > 0 {
            writeln!(
                formatter,
                "  the caller was told to come back after {} ms",
                self.number_field("pause_ms")
            )?;
        }
        writeln!(formatter, "  this host then believed:")?;
        for event in &self.host_events {
            writeln!(formatter, "    {event}")?;
        }
        Ok(())
    }
}

impl fmt::Display for RequestReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (first, last) = match &self.time_range {
            Some((first, last)) => (&**first, &**last),
            None => ("-", "-"),
        };
        for event in &self.events {
            event.fmt(formatter)?;
        }
        match self.events.len() {
            0 => writeln!(
                formatter,
                "no line tells of {}: it came to no host whose log is given, its host ended before it did, or its line was \
                 dropped",
                self.request
            )?,
            1 => {}
            count => writeln!(
                formatter,
                "{count} lines: the caller used the identifier again, or a log is given twice"
            )?,
        }
        write!(
            formatter,
            "read {} lines from {first} to {last}; {} could not be read, as they were cut or are of no host",
            self.lines_read, self.skipped_lines
        )
    }
}
