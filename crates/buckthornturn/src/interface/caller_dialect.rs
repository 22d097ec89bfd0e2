//! How callers, targets and look-ups spell what the product knows under its own names.

use std::time::Duration;

use bytes::Bytes;
use coordination::fleet::TargetLoad;
use coordination::ids::DomainId;
use coordination::ids::RegionId;
use http::HeaderMap;
use http::HeaderValue;
use http::Uri;
use http::response;

/// What a caller's headers say of its request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallerHeaders {
    /// Identifier of this attempt of the caller, which targets repeat in their answers.
    pub attempt_id: Option<Box<str>>,
    /// Key shown.
    pub key: Option<Box<str>>,
    /// Object that the request concerns; targets that handled it lately are faster.
    pub object: Option<Box<str>>,
    /// Time that the caller waits.
    pub time_left: Option<Duration>,
}

/// What a target is told beside the caller's own headers.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetHeaders<'a> {
    /// Target that is meant; any other refuses the request.
    pub target: &'a str,
    /// Customer whose key came with the request.
    pub customer: Option<&'a str>,
    /// Time that is left.
    pub time_left: Duration,
}

/// What the headers of a target's answer say.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerHeaders {
    /// Identifier of the attempt that it answers.
    pub attempt_id: Option<Box<str>>,
    /// Whether it has the target's signature.
    pub is_signed: bool,
    /// Whether the target says that it did not run the request.
    pub is_not_run: bool,
    /// Whether another target has the address.
    pub is_wrong_target: bool,
    /// The target's load.
    pub load: Option<TargetLoad>,
    /// Time for which the target keeps an idle connection.
    pub idle_timeout: Option<Duration>,
}

/// A look-up: where a caller stands.
#[derive(Clone, Debug, PartialEq)]
pub struct LookUpRequest {
    /// Its region.
    pub region: RegionId,
    /// Its failure domain.
    pub failure_domain: DomainId,
}

/// How callers, targets and look-ups spell what the product knows under its own names.
pub trait CallerDialect: Send + Sync {
    /// Reads a caller's headers.
    fn parse_caller_headers(&self, headers: &HeaderMap) -> CallerHeaders;

    /// Turns a caller's headers into those for a target: the key and what only we may say are taken out or replaced.
    fn set_target_headers(&self, headers: &mut HeaderMap, values: &TargetHeaders<'_>);

    /// Reads a target's answer.
    fn parse_answer_headers(&self, answer: &response::Parts) -> AnswerHeaders;

    /// Spells the pause after which a refused caller may come back.
    fn format_retry_after(&self, delay: Duration) -> HeaderValue;

    /// Reads a look-up; `None` if it is none.
    fn parse_look_up(&self, uri: &Uri) -> Option<LookUpRequest>;

    /// Spells the answer to a look-up: callers' addresses of hosts, and how long it holds.
    fn encode_look_up_answer(&self, addresses: &[std::net::SocketAddr], ttl: Duration) -> Bytes;

    /// Whether a path asks if this host is ready.
    fn is_readiness_path(&self, path: &str) -> bool;
}
