//! Record of one request: its times, attempts and end.

use std::time::Duration;

use serde::Serialize;

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "end", rename_all = "snake_case")]
pub enum RequestEnd {
    /// A target's complete answer arrived.
    Answered {
        /// HTTP status of the answer.
        status: u16,
    },
    /// A complete answer arrived that belongs to another request.
    WrongAnswer,
    /// The answer ended early.
    CutAnswer,
    /// The entry host refused the request.
    Refused {
        /// HTTP status of the refusal.
        status: u16,
        /// Title of the refusal's problem document, `unnamed` if there is none.
        reason: Box<str>,
        /// Whether the refusal says that the request was not executed.
        not_run: bool,
    },
    /// No answer arrived after the request was sent, so it is unknown whether it was executed.
    NoAnswer,
    /// The caller broke its upload off.
    BrokenOff,
    /// No host could be reached.
    Unreachable,
    /// The caller gave up waiting.
    TimedOut,
    /// The customer had `max_in_flight_per_customer` requests in flight already.
    NotSent,
}

impl RequestEnd {
    /// Name of the end in reports. For a refusal this is its reason, with ` (unknown)` added if the request may have run.
    pub fn short_name(&self) -> Box<str> {
        match self {
            Self::Answered { .. } => "answered".into(),
            Self::WrongAnswer => "wrong-answer".into(),
            Self::CutAnswer => "cut-answer".into(),
            Self::Refused { reason, not_run: true, .. } => reason.clone(),
            Self::Refused { reason, not_run: false, .. } => format!("{reason} (unknown)").into(),
            Self::NoAnswer => "no-answer".into(),
            Self::BrokenOff => "broken-off".into(),
            Self::Unreachable => "unreachable".into(),
            Self::TimedOut => "timed-out".into(),
            Self::NotSent => "not-sent".into(),
        }
    }
}

/// One request; all times count from the start of the run.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Index of the customer in the plan.
    pub customer: usize,
    /// Whether the customer's key was sent with the request; false if the request was not sent.
    pub has_key: bool,
    /// Index of the request template in the plan.
    pub request: usize,
    /// Identifiers of the attempts, which targets may have executed.
    pub attempt_ids: Vec<Box<str>>,
    /// Identifiers of the attempts that were refused as not executed.
    pub not_run_ids: Vec<Box<str>>,
    /// Planned start of the request.
    pub planned_at: Duration,
    /// Time at which the caller began to send the request, before look-up and ticket.
    pub sent_at: Duration,
    /// Time at which the request ended for its caller.
    pub ended_at: Duration,
    /// How the request ended for its caller.
    pub end: RequestEnd,
    /// Whether the request needed a ticket and was sent without one.
    pub lacks_ticket: bool,
    /// Failure domain of the host tried last; `None` if unknown.
    pub failure_domain: Option<Box<str>>,
    /// Name of the target in the last answer; `None` if the answer does not name one.
    pub target: Option<Box<str>>,
}

impl RequestRecord {
    /// Time from the planned start to the end, so that a late start counts too.
    pub fn latency(&self) -> Duration {
        self.ended_at.saturating_sub(self.planned_at)
    }

    /// Whether the request used a token of the customer's rate: a target has accepted it, or may have.
    pub fn is_admitted(&self) -> bool {
        matches!(
            self.end,
            RequestEnd::Answered { .. } | RequestEnd::WrongAnswer | RequestEnd::CutAnswer
        )
    }

    /// Whether the request was refused with 429, for the customer's rate.
    pub fn is_refused_for_rate(&self) -> bool {
        matches!(self.end, RequestEnd::Refused { status: 429, .. })
    }
}
