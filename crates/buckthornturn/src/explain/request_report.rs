//! Report on one request, printed for engineers.

use std::fmt;

use indexmap::IndexMap;

/// One log line of the request, with the latest events that its host had logged before.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestEvent {
    pub(super) host: Box<str>,
    pub(super) time: Box<str>,
    pub(super) message: Box<str>,
    pub(super) fields: IndexMap<Box<str>, Box<str>>,
    pub(super) host_events: Vec<Box<str>>,
}

/// All that the logs say about one request. Its `Display` form is the output of `explain`.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestReport {
    pub(super) request: Box<str>,
    pub(super) events: Vec<RequestEvent>,
    pub(super) lines_read: u64,
    pub(super) skipped_lines: u64,
    pub(super) time_range: Option<(Box<str>, Box<str>)>,
}

impl RequestReport {
    /// Whether any log line belongs to the request.
    pub fn is_found(&self) -> bool {
        !self.events.is_empty()
    }
}

impl RequestEvent {
    /// Value of a field; `-` if the line does not have it.
    fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("-", |value| value)
    }

    /// Value of a field as a number; 0 if the line does not have it or it is no whole number.
    fn number_field(&self, name: &str) -> u64 {
        self.field(name).parse().unwrap_or(0)
    }

    /// Explains in a sentence why the request ended with the logged `reason`.
    fn explain_outcome(&self) -> String {
        let (wait, pressure) = (self.field("wait_ms"), self.field("pressure"));
        let (sent, expected) = (self.number_field("sent"), self.field("expected_ms"));
        match self.field("reason") {
            "answered" if self.field("status").starts_with('2') => "the target answered".into(),
            "answered" => "the target itself returned this status; see the target's own log for the reason".into(),
            "busy" => format!(
                "refused before it was sent: the shortest expected wait at any target was {wait} ms, with {pressure} requests \
                 per slot in the region"
            ),
            "deferred" => format!(
                "refused before it was sent: capacity is short and requests of higher priority, or customers that got less, came \
                 first; the shortest expected wait at any target was {wait} ms, with {pressure} requests per slot in the region"
            ),
            "rate-exceeded" => format!("refused by the customer's rate limit: {}", self.explain_tokens()),
            "targets-unreachable" => "refused before it was sent: this host reached no target, and knew no other host that did".into(),
            "configuration-behind" => "refused before it was sent: this host did not have the configuration that the forwarding host had".into(),
            "peer-failed" => "forwarded to another host, whose answer was lost: it may have run".into(),
            "target-pauses" => "refused before it was sent: all targets that may run it asked for a pause".into(),
            "crashes-targets" => "refused before it was sent: the same request crashed several targets, at this host or at others".into(),
            "target-limits" => "refused before it was sent: all targets that may run it state limits, which leave this host no room now".into(),
            "no-target" => "refused before it was sent: this host knew no target that was allowed to run it".into(),
            "no-configuration" => "refused: this host had not loaded a configuration yet".into(),
            "no-service" => "refused: the route names no service with a weight".into(),
            "timeout" if sent == 0 => "timed out before it was sent to a target".into(),
            "timeout" => format!(
                "timed out after it was sent to a target, so it may have run; the answer was expected after {expected} ms"
            ),
            "target-shed" => "every target tried was full and did not run it".into(),
            "target-replaced" => "another target now has this address and did not run it".into(),
            "target-unreachable" | "target-closed" => {
                "could not connect to any of the targets tried; no part of the request was sent".into()
            }
            "target-failed" => {
                "the connection to the target failed after the request was sent; it may have run, and was retried only if the \
                 route allows that"
                    .into()
            }
            reason if reason.starts_with("answer-") => {
                format!("the target's answer could not be passed on to the caller ({reason}); the request may have run")
            }
            reason if reason.starts_with("body-") => format!("failed because of the caller's request body ({reason})"),
            reason => format!("ended with `{reason}`"),
        }
    }

    /// Explains from the `tokens` field why the customer's rate limit refused the request.
    fn explain_tokens(&self) -> &'static str {
        match self.field("tokens") {
            "keeper-refused" => "the host that holds the customer's tokens had none left",
            "own" => "this host holds the customer's tokens and had none left",
            "reserve-unanswered" => {
                "the host that holds the customer's tokens did not answer, and the local reserve was used up"
            }
            "reserve-no-keeper" => {
                "the host asked does not hold the customer's tokens, for example after a restart, and the local reserve was \
                 used up"
            }
            _ => "the log does not say which host was asked for tokens",
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
            "  status {}, {took} ms after it arrived: {}",
            self.field("status"),
            self.explain_outcome()
        )?;
        writeln!(
            formatter,
            "  route {}, customer {}, service {}, configuration {}, state last confirmed {} ms earlier",
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
                "  last target {target}: {} targets tried, {} sent to, estimated load {} requests, expected wait {} ms, \
                 expected answer after {} ms",
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
                "  the caller was told to retry after {} ms",
                self.number_field("pause_ms")
            )?;
        }
        writeln!(formatter, "  state known to this host at that time:")?;
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
                "no log line found for {}: it reached no host whose log was given, the host stopped before the request ended, \
                 or the line was dropped",
                self.request
            )?,
            1 => {}
            count => writeln!(
                formatter,
                "{count} log lines found: the caller reused the identifier, or a log was given twice"
            )?,
        }
        write!(
            formatter,
            "read {} lines from {first} to {last}; {} could not be parsed because they were truncated or not written by a host",
            self.lines_read, self.skipped_lines
        )
    }
}
