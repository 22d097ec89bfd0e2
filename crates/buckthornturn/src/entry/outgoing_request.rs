//! A caller's request on its way to targets.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use coordination::fleet::RequestFingerprint;
use coordination::fleet::RequestHead;
use http::HeaderValue;
use http::Uri;
use http::Version;
use http::header;
use http::request;

use crate::callers::AnswerDue;
use crate::callers::ReplayableUpload;
use crate::callers::header_filter::remove_hop_by_hop;
use crate::entry::RequestFacts;
use crate::entry::run_outcome::RunOutcome;

/// A checked request that is ready to be sent to targets.
pub struct OutgoingRequest {
    /// Route, customer, deadline and priority of the request.
    pub facts: RequestFacts,
    /// Request head as the caller sent it, without hop-by-hop headers, in the form that HTTP/1.1 has for a server.
    pub head: request::Parts,
    /// Request body, which can be sent again while its start is buffered.
    pub upload: Arc<ReplayableUpload>,
    /// Whether another host forwarded the request to this one.
    pub is_forwarded: bool,
    /// Whether the request may have run in an attempt without an answer.
    pub(super) outcome: RunOutcome,
    dispatches: AtomicU64,
    /// `None` if no other request of the connection can wait for this one.
    due: Option<AnswerDue>,
}

impl OutgoingRequest {
    /// Creates a request that was not sent to any target yet.
    pub fn new(
        facts: RequestFacts,
        mut head: request::Parts,
        upload: Arc<ReplayableUpload>,
    ) -> Self {
        remove_hop_by_hop(&mut head.headers);
        let due = head.extensions.remove();
        head.extensions.clear();
        use_origin_form(&mut head, &facts.host);
        Self {
            facts,
            head,
            upload,
            is_forwarded: false,
            outcome: RunOutcome::default(),
            dispatches: AtomicU64::new(0),
            due,
        }
    }

    /// Returns once the answer is due, as the host ends and other answers wait for this one; otherwise it never returns.
    pub async fn wait_until_due(&self) {
        match &self.due {
            Some(due) => due.wait().await,
            None => std::future::pending().await,
        }
    }

    /// Number of times that the request was sent to a target, including an attempt that is still running.
    pub fn dispatches(&self) -> u64 {
        self.dispatches.load(Ordering::Relaxed)
    }

    /// Counts a send to a target, before its first byte leaves.
    pub(super) fn record_dispatch(&self) {
        self.dispatches.fetch_add(1, Ordering::Relaxed);
    }

    /// Takes back a counted send of which no byte left.
    pub(super) fn withdraw_dispatch(&self) {
        self.dispatches.fetch_sub(1, Ordering::Relaxed);
    }

    /// Digest of everything by which the request is recognized but its body.
    pub fn head_digest(&self) -> u64 {
        let path = self.head.uri.path_and_query().map_or("/", |path| path.as_str());
        let head = RequestHead {
            customer: self.facts.customer.as_deref(),
            method: self.head.method.as_str(),
            host: &self.facts.host,
            path,
        };
        head.digest()
    }

    /// Fingerprint by which the request is recognized if it comes again; `None` until enough of its body was read.
    pub fn fingerprint(&self) -> Option<RequestFingerprint> {
        let body = self.upload.digest()?;
        Some(RequestFingerprint { head: self.head_digest(), body })
    }
}

/// Gives a head of any version, with the host in its URI or not, the form of an HTTP/1.1 request to a server. A request of
/// HTTP/1.0 would get an answer that can't be told from a cut one.
fn use_origin_form(head: &mut request::Parts, host: &str) {
    head.version = Version::HTTP_11;
    match head.uri.path_and_query() {
        Some(path) if head.uri.authority().is_some() => head.uri = Uri::from(path.clone()),
        _ => {}
    }
    match HeaderValue::from_str(host) {
        Ok(host) if !head.headers.contains_key(header::HOST) => {
            head.headers.insert(header::HOST, host);
        }
        _ => {}
    }
}
