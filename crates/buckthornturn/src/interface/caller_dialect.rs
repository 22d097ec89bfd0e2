//! Translation between the headers and paths of a particular platform and the terms of this program.

use std::time::Duration;

use bytes::Bytes;
use coordination::fleet::TargetLoad;
use coordination::ids::DomainId;
use coordination::ids::RegionId;
use http::HeaderMap;
use http::HeaderValue;
use http::Uri;
use http::response;

/// Values from the headers of a caller's request; each is `None` if the header is absent or malformed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallerHeaders {
    /// Identifier of this attempt, chosen by the caller; targets repeat it in their answers.
    pub attempt_id: Option<Box<str>>,
    /// Key that authenticates the caller.
    pub key: Option<Box<str>>,
    /// Key of the object that the request concerns; a target that handled the object recently is faster.
    pub object: Option<Box<str>>,
    /// Time for which the caller waits for the answer.
    pub time_left: Option<Duration>,
}

/// Values for the headers that this host adds to a request for a target.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetHeaders<'a> {
    /// Name of the intended target; any other target refuses the request.
    pub target: &'a str,
    /// Customer whose key came with the request; `None` for a request without a key.
    pub customer: Option<&'a str>,
    /// Time that is left for the answer.
    pub time_left: Duration,
}

/// Values from the status and the headers of a target's answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerHeaders {
    /// Identifier of the attempt that is answered; `None` if the header is absent or malformed.
    pub attempt_id: Option<Box<str>>,
    /// Whether the answer has a signature header. The signature itself is not verified.
    pub is_signed: bool,
    /// Whether the target states that it did not run the request.
    pub is_not_run: bool,
    /// Whether the answer comes from another target that now has the address.
    pub is_wrong_target: bool,
    /// Load of the target at the time of the answer; `None` if the header is absent or malformed.
    pub load: Option<TargetLoad>,
    /// Duration of work on the target's machine as a multiple of the usual one; `None` if the answer states none.
    pub work_pace: Option<f64>,
    /// Requests a second that the target takes from all hosts together; `None` if the answer states no limit.
    pub limit: Option<f64>,
    /// Value of a limit that is not a number of requests a second; the answer then counts as one without a limit.
    pub unreadable_limit: Option<Box<str>>,
    /// Whether the target says that it leaves.
    pub is_leaving: bool,
    /// Time for which the target wants no request from this host; `None` if it did not refuse a request or states none.
    pub pause: Option<Duration>,
    /// Value of a pause that is not a number of seconds; the answer then counts as one without a pause.
    pub unreadable_pause: Option<Box<str>>,
    /// Time after which the target closes an idle connection; `None` if the answer does not state it.
    pub idle_timeout: Option<Duration>,
}

/// A look-up of entry hosts: the location of the caller.
#[derive(Clone, Debug, PartialEq)]
pub struct LookUpRequest {
    /// Region of the caller.
    pub region: RegionId,
    /// Failure domain of the caller.
    pub failure_domain: DomainId,
}

/// Header names, paths and formats that callers and targets of a platform use.
pub trait CallerDialect: Send + Sync {
    /// Parses the headers of a caller's request.
    fn parse_caller_headers(&self, headers: &HeaderMap) -> CallerHeaders;

    /// Converts a caller's headers to those for a target: removes the key, and sets or removes the headers that only this
    /// host may set.
    fn set_target_headers(&self, headers: &mut HeaderMap, values: &TargetHeaders<'_>);

    /// Sets the time that a caller still waits, in a request that goes on to another host.
    fn set_time_left(&self, headers: &mut HeaderMap, time_left: Duration);

    /// Parses the status and headers of a target's answer.
    fn parse_answer_headers(&self, answer: &response::Parts) -> AnswerHeaders;

    /// Formats the delay after which a refused caller may try again as the value of a `retry-after` header.
    fn format_retry_after(&self, delay: Duration) -> HeaderValue;

    /// Parses a look-up; `None` if the path is not that of look-ups.
    fn parse_look_up(&self, uri: &Uri) -> Option<LookUpRequest>;

    /// Encodes the answer to a look-up: the addresses on which hosts accept callers, and how long callers may cache it.
    fn encode_look_up_answer(&self, addresses: &[std::net::SocketAddr], ttl: Duration) -> Bytes;

    /// Whether a path is that of readiness checks.
    fn is_readiness_path(&self, path: &str) -> bool;
}
