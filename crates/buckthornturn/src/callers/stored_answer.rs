//! Recorded answers, which are replayed when a request is repeated.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use coordination::outcome_table::KnownOutcome;
use coordination::outcome_table::SizedAnswer;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use http::response::Parts;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;

use crate::callers::refusal::OUTCOME_HEADER;

/// Largest body that is kept for replay, in bytes.
pub const MAX_REPLAY_BYTES: usize = 64 << 10;

const REPLAYED_HEADER: &str = "buckthornturn-replayed";
const MAX_HEADER_BYTES: usize = 4 << 10;

/// Recorded answer of a target. Of a large body only the digest is kept.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StoredAnswer {
    status: u16,
    headers: Vec<(Box<str>, Box<str>)>,
    body: Option<Box<str>>,
    sha256: Option<Box<str>>,
}

/// Outcome of a request as it is sent to a peer or written to the store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StoredOutcome {
    /// Answer of the target; `None` if the outcome is unknown.
    pub answer: Option<StoredAnswer>,
}

/// Records an answer while it is passed on to the caller.
pub struct AnswerRecorder {
    status: u16,
    headers: Vec<(Box<str>, Box<str>)>,
    body: Option<Vec<u8>>,
    digest: Sha256,
}

impl AnswerRecorder {
    /// Starts recording with the head of the answer. Headers beyond `MAX_HEADER_BYTES` are dropped.
    pub fn new(parts: &Parts) -> Self {
        let mut remaining_bytes = MAX_HEADER_BYTES;
        let mut headers = Vec::new();
        for (name, value) in &parts.headers {
            let Ok(text) = value.to_str() else { continue };
            remaining_bytes = remaining_bytes.saturating_sub(name.as_str().len() + text.len());
            let is_framing = matches!(*name, header::CONTENT_LENGTH | header::DATE);
            if remaining_bytes > 0 && !is_framing {
                headers.push((name.as_str().into(), text.into()));
            }
        }
        let status = parts.status.as_u16();
        Self { status, headers, body: Some(Vec::new()), digest: Sha256::new() }
    }

    /// Adds the next part of the body; drops the body once it is larger than `MAX_REPLAY_BYTES`.
    pub fn record_data(&mut self, data: &[u8]) {
        self.digest.update(data);
        match &mut self.body {
            Some(body) if body.len() + data.len() <= MAX_REPLAY_BYTES => {
                body.extend_from_slice(data);
            }
            _ => self.body = None,
        }
    }

    /// Returns the recorded answer; to be called after the body has ended completely.
    pub fn finish(self) -> StoredAnswer {
        let hex =
            self.digest.finalize().iter().map(|byte| format!("{byte:02x}")).collect::<String>();
        StoredAnswer {
            status: self.status,
            headers: self.headers,
            body: self.body.map(|body| STANDARD.encode(body).into()),
            sha256: Some(hex.into()),
        }
    }
}

impl StoredAnswer {
    /// Response to a repeated request. If the body was not kept, the caller gets a conflict with an unknown outcome,
    /// whose body gives the status and the digest of the first answer.
    pub fn response(&self) -> Response<Bytes> {
        let body = self.body.as_ref().and_then(|body| STANDARD.decode(&**body).ok());
        match body {
            Some(body) => self.replay_response(body.into()),
            None => self.conflict_response(),
        }
    }

    fn replay_response(&self, body: Bytes) -> Response<Bytes> {
        let mut response = Response::new(body);
        *response.status_mut() = StatusCode::from_u16(self.status).unwrap_or(StatusCode::OK);
        for (name, value) in &self.headers {
            let pair = (name.parse::<HeaderName>(), HeaderValue::from_str(value));
            if let (Ok(name), Ok(value)) = pair {
                response.headers_mut().append(name, value);
            }
        }
        response.headers_mut().insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
        response
    }

    fn conflict_response(&self) -> Response<Bytes> {
        let body = json!({
            "type": "urn:buckthornturn:answered-before",
            "title": "answered-before",
            "status": StatusCode::CONFLICT.as_u16(),
            "answer_status": self.status,
            "answer_sha256": self.sha256,
        });
        let mut response = Response::new(Bytes::from(body.to_string()));
        *response.status_mut() = StatusCode::CONFLICT;
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
        headers.insert(OUTCOME_HEADER, HeaderValue::from_static("unknown"));
        response
    }
}

impl SizedAnswer for StoredAnswer {
    fn bytes(&self) -> usize {
        let headers: usize =
            self.headers.iter().map(|(name, value)| name.len() + value.len()).sum();
        headers + self.body.as_ref().map_or(0, |body| body.len())
    }

    fn summary(&self) -> Self {
        Self { headers: Vec::new(), body: None, ..self.clone() }
    }
}

impl From<KnownOutcome<StoredAnswer>> for StoredOutcome {
    fn from(outcome: KnownOutcome<StoredAnswer>) -> Self {
        match outcome {
            KnownOutcome::Answered(answer) => Self { answer: Some(answer) },
            KnownOutcome::Unknown => Self { answer: None },
        }
    }
}

impl From<StoredOutcome> for KnownOutcome<StoredAnswer> {
    fn from(outcome: StoredOutcome) -> Self {
        outcome.answer.map_or(KnownOutcome::Unknown, KnownOutcome::Answered)
    }
}
