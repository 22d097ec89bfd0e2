//! The platform's names for the headers of callers and targets, for look-ups and for the readiness check.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use coordination::fleet::TargetLoad;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;
use http::Uri;
use http::response;
use percent_encoding::percent_decode_str;
use serde_json::json;

use crate::interface::AnswerHeaders;
use crate::interface::CallerDialect;
use crate::interface::CallerHeaders;
use crate::interface::LookUpRequest;
use crate::interface::TargetHeaders;

/// Identifier of one attempt of a caller; targets repeat it in their answers.
const ATTEMPT_ID_HEADER: HeaderName = HeaderName::from_static("x-attempt-id");
/// Customer's API key, without a scheme such as `Bearer`.
const API_KEY_HEADER: HeaderName = HeaderName::from_static("x-credential");
/// Object that a request concerns; used to prefer targets that recently handled it.
const AFFINITY_KEY_HEADER: HeaderName = HeaderName::from_static("x-affinity-key");
/// Milliseconds for which the sender still waits; a duration in spite of the header's name.
const TIME_LEFT_HEADER: HeaderName = HeaderName::from_static("x-request-deadline");
/// Name of the target that the request is meant for; any other target refuses it.
const TARGET_HEADER: HeaderName = HeaderName::from_static("x-target-instance");
/// Customer that the API key belongs to. Callers cannot set it: the host removes or replaces it.
const CUSTOMER_HEADER: HeaderName = HeaderName::from_static("x-tenant-name");
/// Signature of the target over its answer. Only its presence is checked here.
const SIGNATURE_HEADER: HeaderName = HeaderName::from_static("x-server-signature");
/// Present if the target states that it did not execute the request.
const NOT_RUN_HEADER: HeaderName = HeaderName::from_static("x-not-executed");
/// Load of a target as `running,waiting,slots`, each a number of requests.
const LOAD_HEADER: HeaderName = HeaderName::from_static("x-server-load");
/// Requests a second, as a decimal number, that a target takes from all hosts together.
const LIMIT_HEADER: HeaderName = HeaderName::from_static("server-limit");
/// `1` in all answers of a target that leaves.
const LEAVING_HEADER: HeaderName = HeaderName::from_static("server-leaving");
/// Seconds, as a decimal number, for which a target that turned a request away wants none from the host that sent it.
const PAUSE_HEADER: HeaderName = http::header::RETRY_AFTER;
/// Its `timeout` parameter has the seconds for which a target keeps an idle connection open.
const KEEP_ALIVE_HEADER: HeaderName = HeaderName::from_static("keep-alive");
const LOOK_UP_PATH: &str = "/resolve";
const READINESS_PATH: &str = "/readiness";

/// Implements [`CallerDialect`] with the platform's header names, paths and number formats.
#[derive(Clone, Copy, Debug, Default)]
pub struct WireDialect;

impl CallerDialect for WireDialect {
    fn parse_caller_headers(&self, headers: &HeaderMap) -> CallerHeaders {
        CallerHeaders {
            attempt_id: header_text(headers, &ATTEMPT_ID_HEADER),
            key: header_text(headers, &API_KEY_HEADER),
            object: header_text(headers, &AFFINITY_KEY_HEADER),
            time_left: header_millis(headers, &TIME_LEFT_HEADER),
        }
    }

    fn set_target_headers(&self, headers: &mut HeaderMap, notice: &TargetHeaders<'_>) {
        headers.remove(API_KEY_HEADER);
        headers.remove(CUSTOMER_HEADER);
        let values = [(TARGET_HEADER, Some(notice.target)), (CUSTOMER_HEADER, notice.customer)];
        for (name, value) in values {
            if let Some(Ok(value)) = value.map(HeaderValue::from_str) {
                headers.insert(name, value);
            }
        }
        self.set_time_left(headers, notice.time_left);
    }

    fn set_time_left(&self, headers: &mut HeaderMap, time_left: Duration) {
        headers.insert(TIME_LEFT_HEADER, HeaderValue::from(time_left.as_millis() as u64));
    }

    fn parse_answer_headers(&self, answer: &response::Parts) -> AnswerHeaders {
        let headers = &answer.headers;
        let load = header_text(headers, &LOAD_HEADER);
        let limit = headers.get(&LIMIT_HEADER);
        let rate = limit.and_then(parse_limit);
        let is_refused = answer.status == StatusCode::SERVICE_UNAVAILABLE;
        let stated_pause = headers.get(&PAUSE_HEADER).filter(|_| is_refused);
        let pause = stated_pause.and_then(parse_pause);
        AnswerHeaders {
            attempt_id: header_text(headers, &ATTEMPT_ID_HEADER),
            is_signed: headers.contains_key(&SIGNATURE_HEADER),
            is_not_run: headers.contains_key(&NOT_RUN_HEADER),
            is_wrong_target: answer.status == StatusCode::MISDIRECTED_REQUEST,
            load: load.as_deref().and_then(parse_load),
            work_pace: load.as_deref().and_then(parse_pace),
            limit: rate,
            unreadable_limit: limit
                .filter(|_| rate.is_none())
                .map(|value| String::from_utf8_lossy(value.as_bytes()).into()),
            is_leaving: header_text(headers, &LEAVING_HEADER).as_deref() == Some("1"),
            pause,
            unreadable_pause: stated_pause
                .filter(|_| pause.is_none())
                .map(|value| String::from_utf8_lossy(value.as_bytes()).into()),
            idle_timeout: header_text(headers, &KEEP_ALIVE_HEADER)
                .and_then(|value| parse_idle_timeout(&value)),
        }
    }

    fn format_retry_after(&self, pause: Duration) -> HeaderValue {
        let text = format!("{:.3}", pause.as_secs_f64());
        HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static("1"))
    }

    fn parse_look_up(&self, uri: &Uri) -> Option<LookUpRequest> {
        if uri.path() != LOOK_UP_PATH {
            return None;
        }
        let query = uri.query().unwrap_or_default();
        let value = |name: &str| -> Box<str> {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next();
            percent_decode_str(found.unwrap_or_default()).decode_utf8_lossy().into()
        };
        Some(LookUpRequest { region: value("region"), failure_domain: value("zone") })
    }

    fn encode_look_up_answer(&self, addresses: &[SocketAddr], life: Duration) -> Bytes {
        json!({ "addresses": addresses, "ttl_s": life.as_secs_f64() }).to_string().into()
    }

    fn is_readiness_path(&self, path: &str) -> bool {
        path == READINESS_PATH
    }
}

/// Value of a header; `None` if it is absent or has other bytes than visible ASCII.
fn header_text(headers: &HeaderMap, name: &HeaderName) -> Option<Box<str>> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(Into::into)
}

/// Value of a header in whole milliseconds; `None` if it is absent or is no such number.
fn header_millis(headers: &HeaderMap, name: &HeaderName) -> Option<Duration> {
    let value = header_text(headers, name)?;
    value.trim().parse().ok().map(Duration::from_millis)
}

/// Parses a load of the form `running,waiting,slots`; `None` if a number is missing or invalid.
fn parse_load(value: &str) -> Option<TargetLoad> {
    let mut numbers = value.split(',').map(|number| number.trim().parse::<u32>().ok());
    let mut next = || numbers.next().flatten();
    Some(TargetLoad { running: next()?, waiting: next()?, slots: next()? })
}

/// Parses the fourth figure of a load, the duration of work in percent of the usual one; `None` if it is missing or invalid.
fn parse_pace(value: &str) -> Option<f64> {
    let percent: f64 = value.split(',').nth(3)?.trim().parse().ok()?;
    (percent.is_finite() && percent > 0.0).then_some(percent / 100.0)
}

/// Parses a limit in requests a second; `None` if it is no finite number of at least 0.
fn parse_limit(value: &HeaderValue) -> Option<f64> {
    let rate: f64 = value.to_str().ok()?.trim().parse().ok()?;
    (rate.is_finite() && rate >= 0.0).then_some(rate)
}

/// Parses a pause in seconds; `None` if it is no finite number of at least 0.
fn parse_pause(value: &HeaderValue) -> Option<Duration> {
    let seconds: f64 = value.to_str().ok()?.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

/// Parses the `timeout=SECONDS` parameter of a `keep-alive` header; `None` if it is missing or invalid.
fn parse_idle_timeout(value: &str) -> Option<Duration> {
    let mut parameters = value.split(',').filter_map(|parameter| parameter.trim().split_once('='));
    let (_, seconds) = parameters.find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
