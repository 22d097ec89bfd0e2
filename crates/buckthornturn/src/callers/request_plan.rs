//! Checks of a request before any of it is passed on.

use std::time::Duration;
use std::time::Instant;

use coordination::ids::CustomerId;
use coordination::ids::ServiceId;
use coordination::ids::TargetId;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::StatusCode;
use http::Version;
use http::header;
use http::request::Parts;

use crate::callers::CallerBody;
use crate::callers::CallerPermission;
use crate::callers::KeyCheck;
use crate::callers::KeyRedactor;
use crate::callers::Refusal;
use crate::callers::canonical_path::canonical_path;
use crate::callers::header_filter::remove_hop_by_hop;
use crate::callers::header_filter::remove_product_headers;
use crate::configuration::ConfigurationState;
use crate::configuration::RouteSpec;
use crate::configuration::StaleKeyChoice;
use crate::configuration::StaleKeyPolicy;
use crate::interface::AdmissionRequest;

/// Header with the identifier of a request, which targets may return in their answer.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the time left until the deadline, in milliseconds.
pub const TIMEOUT_HEADER: &str = "x-request-timeout-ms";

const CUSTOMER_HEADER: &str = "buckthornturn-customer";
const MAX_REQUEST_ID_BYTES: usize = 64;

/// Properties of a request that passed its checks, collected before any of it is passed on.
#[derive(Clone, Debug)]
pub struct RequestPlan {
    /// Identifier from the caller, or a random one; passed on to the target.
    pub request_id: Box<str>,
    /// Properties by which the request was authorized, to be checked again later.
    pub permission: CallerPermission,
    /// Service that the host name of the request selects.
    pub service: ServiceId,
    /// Route that the path of the request selects, as configured when the request arrived.
    pub route: RouteSpec,
    /// Policy for requests that arrive while the key state is stale.
    pub stale_keys: StaleKeyPolicy,
    /// Time at which the request arrived at this host.
    pub arrived_at: Instant,
    /// Time from arrival to the first byte of the answer: that of the route, or a shorter one that the caller asked
    /// for.
    pub timeout: Duration,
    /// Length of the body in bytes; `None` without a `Content-Length` header.
    pub body_bytes: Option<u64>,
}

impl RequestPlan {
    /// Checks a request against the configuration in force.
    ///
    /// # Errors
    ///
    /// Returns the refusal; the request has not run.
    pub fn from_request(
        state: &ConfigurationState,
        request: &Request<CallerBody>,
    ) -> Result<Self, Refusal> {
        if state.revision == 0 {
            return Err(Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "no-configuration")
                .retry_after(NO_CONFIGURATION_RETRY_AFTER));
        }
        if matches!(*request.method(), Method::CONNECT | Method::TRACE) {
            return Err(bad_request("bad-method"));
        }
        let host = named_host(request).ok_or_else(|| bad_request("bad-host"))?;
        let path = canonical_path(request.uri()).ok_or_else(|| bad_request("bad-path"))?;
        let key_check = KeyCheck::from_headers(request.headers(), state);
        let (key, customer) = match &key_check {
            KeyCheck::Valid { key, customer } => (Some(key.clone()), Some(customer.clone())),
            _ => (None, None),
        };
        let permission = CallerPermission { host, path, key, customer };
        let (service, route) = permission.authorize(state)?;
        if key_check == KeyCheck::Invalid && !route.open {
            return Err(Refusal::not_run(StatusCode::UNAUTHORIZED, "key"));
        }
        let body_bytes = content_length(request.headers())?;
        if body_bytes.is_some_and(|bytes| bytes > route.max_body_bytes) {
            return Err(Refusal::not_run(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large"));
        }
        let stale_keys = state.profile_of(&service.name).map(|profile| profile.stale_keys.clone());
        Ok(Self {
            request_id: request_id(request.headers(), &KeyRedactor::new(state)),
            service: service.name.clone(),
            timeout: request_timeout(request.headers(), route),
            route: route.clone(),
            stale_keys: stale_keys.unwrap_or_default(),
            arrived_at: Instant::now(),
            permission,
            body_bytes,
        })
    }

    /// Customer that the request is made for; `None` on an open route without a valid key.
    pub fn customer(&self) -> Option<&CustomerId> {
        self.permission.customer.as_ref()
    }

    /// Time by which the first byte of the answer must arrive.
    pub fn deadline(&self) -> Instant {
        self.arrived_at + self.timeout
    }

    /// Builds the request for the admission gate. `attempt` is 0 for the first attempt; `excluded` lists targets
    /// already tried.
    pub fn admission_request(&self, attempt: u32, excluded: &[TargetId]) -> AdmissionRequest {
        AdmissionRequest {
            request_id: self.request_id.clone(),
            customer: self.permission.customer.clone(),
            service: self.service.clone(),
            route: self.route.name.clone(),
            priority: self.route.priority,
            repeatable: self.route.repeatable,
            deadline: self.deadline(),
            body_bytes: self.body_bytes,
            excluded: excluded.to_vec(),
            attempt,
        }
    }

    /// Checks that the request is still allowed under `state`, and that the key state is fresh enough for it. A
    /// `key_age` of `None` counts as stale.
    ///
    /// # Errors
    ///
    /// Returns the refusal; the request has not run.
    pub fn check_allowed(
        &self,
        state: &ConfigurationState,
        key_age: Option<Duration>,
    ) -> Result<(), Refusal> {
        self.permission.authorize(state)?;
        let choice = match self.route.repeatable {
            true => self.stale_keys.repeatable,
            false => self.stale_keys.non_repeatable,
        };
        let max_key_age = Duration::from_millis(self.stale_keys.after_ms);
        let is_stale = key_age.is_none_or(|age| age > max_key_age);
        match choice {
            StaleKeyChoice::Refuse if is_stale && !self.route.open => {
                Err(Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "key-state-old")
                    .retry_after(STALE_KEYS_RETRY_AFTER))
            }
            _ => Ok(()),
        }
    }

    /// Builds the head of the request for targets, without keys, hop-by-hop headers and headers of this project.
    ///
    /// # Errors
    ///
    /// Refuses a request with a key in a place from which it cannot be removed, such as the path.
    pub fn outgoing_head(
        &self,
        state: &ConfigurationState,
        mut parts: Parts,
    ) -> Result<Parts, Refusal> {
        let redactor = KeyRedactor::new(state);
        parts.uri = redactor.redact_uri(&parts.uri).ok_or_else(|| bad_request("key-in-path"))?;
        parts.version = Version::HTTP_11;
        parts.extensions.clear();
        remove_hop_by_hop(&mut parts.headers);
        remove_product_headers(&mut parts.headers);
        redactor.redact_headers(&mut parts.headers);
        let header_value =
            |text: &str| HeaderValue::from_str(text).map_err(|_| bad_request("bad-request"));
        parts.headers.insert(header::HOST, header_value(&self.permission.host)?);
        parts.headers.insert(REQUEST_ID_HEADER, header_value(&self.request_id)?);
        if let Some(customer) = self.customer() {
            parts.headers.insert(CUSTOMER_HEADER, header_value(customer)?);
        }
        Ok(parts)
    }
}

const NO_CONFIGURATION_RETRY_AFTER: Duration = Duration::from_secs(1);
const STALE_KEYS_RETRY_AFTER: Duration = Duration::from_secs(1);

fn bad_request(reason: &'static str) -> Refusal {
    Refusal::not_run(StatusCode::BAD_REQUEST, reason)
}

/// Host name in the request, in lower case and without port. Returns `None` if it is missing or invalid, if there are
/// several `Host` headers, or if `Host` and the URI disagree.
pub(crate) fn named_host<B>(request: &Request<B>) -> Option<Box<str>> {
    let mut values = request.headers().get_all(header::HOST).iter();
    let header_host = match values.next() {
        Some(value) => Some(host_name(value.to_str().ok()?)?),
        None => None,
    };
    if values.next().is_some() {
        return None;
    }
    let authority_host = match request.uri().authority() {
        Some(authority) => Some(host_name(authority.as_str())?),
        None => None,
    };
    match (header_host, authority_host) {
        (Some(host), Some(authority)) if host == authority => Some(host),
        (Some(_), Some(_)) => None,
        (host, authority) => host.or(authority),
    }
}

fn host_name(text: &str) -> Option<Box<str>> {
    let (name, port) = match text.rsplit_once(':') {
        Some((name, port)) if !port.contains(']') => (name, port),
        _ => (text, "0"),
    };
    let is_host = |byte: u8| byte.is_ascii_alphanumeric() || b"-._[]:".contains(&byte);
    let is_valid = !name.is_empty()
        && name.bytes().all(is_host)
        && port.bytes().all(|byte| byte.is_ascii_digit());
    is_valid.then(|| name.to_ascii_lowercase().into())
}

/// Length of a body in bytes, according to its headers; `None` without `Content-Length`.
///
/// # Errors
///
/// Refuses a malformed or repeated `Content-Length`, and one beside `Transfer-Encoding`.
pub(crate) fn content_length(headers: &HeaderMap) -> Result<Option<u64>, Refusal> {
    let mut values = headers.get_all(header::CONTENT_LENGTH).iter();
    let has_transfer_encoding = headers.contains_key(header::TRANSFER_ENCODING);
    match (values.next(), values.next()) {
        (None, _) => Ok(None),
        (Some(value), None) if !has_transfer_encoding => {
            let text = value.to_str().ok().filter(|text| text.bytes().all(|b| b.is_ascii_digit()));
            let length = text.and_then(|text| text.parse().ok());
            length.map(Some).ok_or_else(|| bad_request("bad-length"))
        }
        _ => Err(bad_request("bad-length")),
    }
}

fn request_id(headers: &HeaderMap, redactor: &KeyRedactor<'_>) -> Box<str> {
    let is_valid = |text: &&str| {
        (1..=MAX_REQUEST_ID_BYTES).contains(&text.len())
            && text.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte))
            && !redactor.contains_key_text(text.as_bytes())
    };
    let given = headers.get(REQUEST_ID_HEADER).and_then(|value| value.to_str().ok());
    match given.filter(is_valid) {
        Some(text) => text.into(),
        None => format!("{:016x}", rand::random::<u64>()).into(),
    }
}

fn request_timeout(headers: &HeaderMap, route: &RouteSpec) -> Duration {
    let given = headers.get(TIMEOUT_HEADER).and_then(|value| value.to_str().ok());
    let given = given.and_then(|text| text.parse().ok()).map(Duration::from_millis);
    given.map_or(route.deadline(), |given| given.min(route.deadline()))
}
