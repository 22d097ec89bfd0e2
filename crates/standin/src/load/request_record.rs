//! What became of one request.

use std::time::Duration;

use serde::Serialize;

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "end", rename_all = "snake_case")]
pub enum RequestEnd {
    /// A target's whole answer.
    Answered {
        /// Status.
        status: u16,
    },
    /// A whole answer that is not the one to this request.
    WrongAnswer,
    /// An answer that broke off.
    CutAnswer,
    /// A refusal.
    Refused {
        /// Status.
        status: u16,
        /// Reason as named in the refusal.
        reason: Box<str>,
        /// Whether it says that the request has not run.
        not_run: bool,
    },
    /// No answer after the request was sent, and no leave to repeat it.
    NoAnswer,
    /// No host could be reached.
    Unreachable,
    /// The caller gave up waiting.
    TimedOut,
    /// The tool itself had too many requests in flight.
    NotSent,
}

impl RequestEnd {
    /// Short name of the end.
    pub fn short_name(&self) -> Box<str> {
        match self {
            Self::Answered { .. } => "answered".into(),
            Self::WrongAnswer => "wrong-answer".into(),
            Self::CutAnswer => "cut-answer".into(),
            Self::Refused { reason, not_run: true, .. } => reason.clone(),
            Self::Refused { reason, not_run: false, .. } => format!("{reason} (unknown)").into(),
            Self::NoAnswer => "no-answer".into(),
            Self::Unreachable => "unreachable".into(),
            Self::TimedOut => "timed-out".into(),
            Self::NotSent => "not-sent".into(),
        }
    }
}

/// One request with its times since the start of the run.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Index of the customer in the plan.
    pub customer: usize,
    /// Whether it showed the customer's key.
    pub has_key: bool,
    /// Index of the kind of request in the plan.
    pub request: usize,
    /// Identifiers of attempts that the targets may have executed.
    pub attempt_ids: Vec<Box<str>>,
    /// Those of them of which a refusal said that they have not run.
    pub not_run_ids: Vec<Box<str>>,
    /// When it was planned to start.
    pub planned_at: Duration,
    /// When its last attempt was sent.
    pub sent_at: Duration,
    /// When it ended.
    pub ended_at: Duration,
    /// How it ended.
    pub end: RequestEnd,
    /// Whether it went without the ticket that it should have had.
    pub lacks_ticket: bool,
    /// Failure domain of the host that gave the end.
    pub failure_domain: Option<Box<str>>,
    /// Target that answered.
    pub target: Option<Box<str>>,
}

impl RequestRecord {
    /// Time from the planned start to the end.
    pub fn latency(&self) -> Duration {
        self.ended_at.saturating_sub(self.planned_at)
    }

    /// Whether it spent the customer's rate: a target has, or may have, taken it.
    pub fn is_admitted(&self) -> bool {
        matches!(
            self.end,
            RequestEnd::Answered { .. } | RequestEnd::WrongAnswer | RequestEnd::CutAnswer
        )
    }

    /// Whether it was refused for the customer's rate.
    pub fn is_refused_for_rate(&self) -> bool {
        matches!(self.end, RequestEnd::Refused { status: 429, .. })
    }
}
