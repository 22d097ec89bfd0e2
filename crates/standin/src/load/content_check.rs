//! Checks that an answer is complete and belongs to its request.

use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;
use serde_json::Value;

use crate::load::RequestEnd;
use crate::load::RequestTemplate;
use crate::load::request_body::SentBody;
use crate::target_standin::AnswerContent;

const MAX_ECHO_BYTES: usize = 64 * 1024;

/// Expected content of the answer to one request.
pub struct ContentCheck<'a> {
    /// Template that the request was built from.
    pub template: &'a RequestTemplate,
    /// Identifier sent in the `x-load-id` header; the target derives its content from it.
    pub id: &'a str,
    /// Body of the request.
    pub sent: &'a SentBody,
    /// Customer that the target must name; `None` if the request was sent without a key.
    pub customer: Option<&'a str>,
}

impl ContentCheck<'_> {
    /// Reads a successful answer to its end. Returns `WrongAnswer` if it belongs to another request, and `CutAnswer` if
    /// the connection failed before the end.
    pub async fn check_answer(&self, status: u16, body: Incoming) -> RequestEnd {
        let path = self.template.path.split('?').next().unwrap_or_default();
        match path.split("/bytes/").nth(1).and_then(|text| text.parse().ok()) {
            Some(length) => self.check_bytes(status, body, length).await,
            None => self.check_echo(status, body, path).await,
        }
    }

    async fn check_bytes(&self, status: u16, mut body: Incoming, length: u64) -> RequestEnd {
        let content = AnswerContent::new(self.id);
        let mut read = 0;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return RequestEnd::CutAnswer };
            let Ok(bytes) = frame.into_data() else { continue };
            if !content.matches(read, &bytes) {
                return RequestEnd::WrongAnswer;
            }
            read += bytes.len() as u64;
        }
        match read == length {
            true => RequestEnd::Answered { status },
            false => RequestEnd::WrongAnswer,
        }
    }

    async fn check_echo(&self, status: u16, body: Incoming, path: &str) -> RequestEnd {
        let Ok(body) = Limited::new(body, MAX_ECHO_BYTES).collect().await else {
            return RequestEnd::CutAnswer;
        };
        let Ok(echo) = serde_json::from_slice::<Value>(&body.to_bytes()) else {
            return RequestEnd::WrongAnswer;
        };
        let is_match = echo["request_id"] == self.id
            && echo["customer"].as_str() == self.customer
            && echo["path"] == path
            && echo["body_bytes"] == self.sent.stamp.length
            && echo["body_sha256"] == *self.sent.stamp.body;
        match is_match {
            true => RequestEnd::Answered { status },
            false => RequestEnd::WrongAnswer,
        }
    }
}
