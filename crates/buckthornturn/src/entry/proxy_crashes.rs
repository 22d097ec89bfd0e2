//! Keeps requests that crash targets from them.

use std::time::Duration;
use std::time::Instant;

use coordination::fleet::CrashVerdict;
use coordination::fleet::RequestFingerprint;
use coordination::fleet::TrialGrant;
use coordination::ids::TargetId;
use http::StatusCode;

use crate::callers::Refusal;
use crate::callers::WholeUpload;
use crate::entry::OutgoingRequest;
use crate::entry::ProxyService;
use crate::entry::proxy_service::body_refusal;

/// Reason of refusals of requests that crash targets.
const CRASHES_REASON: &str = "crashes-targets";

impl ProxyService {
    /// Checks whether a request may be sent, and returns its fingerprint if it, or another request with the same head,
    /// crashed a target. The body of such a request is read up to what its digest needs before any of it is sent.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a request that crashed several targets, or whose body ended early.
    pub(super) async fn check_crashes(
        &self,
        request: &OutgoingRequest,
        upload: &WholeUpload,
    ) -> Result<Option<RequestFingerprint>, Refusal> {
        let head = {
            let core = self.state.lock();
            match core.crashes.is_empty() {
                true => return Ok(None),
                false => request.head_digest(),
            }
        };
        if !self.state.lock().crashes.knows_head(head) {
            return Ok(None);
        }
        let body = upload.read_digest().await.map_err(|_| body_refusal(request))?;
        let fingerprint = RequestFingerprint { head, body };
        match self.verdict(fingerprint) {
            CrashVerdict::Refused { wait } => Err(crash_refusal(wait)),
            _ => Ok(Some(fingerprint)),
        }
    }

    /// Asks for a trial if the request may only be sent as one.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a request that is not to be tried now.
    pub(super) async fn take_trial(&self, fingerprint: RequestFingerprint) -> Result<(), Refusal> {
        match self.verdict(fingerprint) {
            CrashVerdict::Trusted | CrashVerdict::Suspected => Ok(()),
            CrashVerdict::Refused { wait } => Err(crash_refusal(wait)),
            CrashVerdict::NeedsTrial => match self.reporter.request_trial(fingerprint).await {
                TrialGrant::Granted => Ok(()),
                TrialGrant::Refused { wait } => Err(crash_refusal(wait)),
            },
        }
    }

    /// Tells the other hosts that a target closed its connection under a request, or answered one under suspicion.
    pub(super) async fn report_end(
        &self,
        closed: Option<RequestFingerprint>,
        answered: Option<RequestFingerprint>,
        target: &TargetId,
    ) {
        if let Some(fingerprint) = closed {
            self.reporter.report_crash(fingerprint, target).await;
        }
        if let Some(fingerprint) = answered {
            self.reporter.report_answer(fingerprint).await;
        }
    }

    /// Whether a request may be sent once more after a target closed its connection under it.
    pub(super) fn may_repeat_after_crash(&self, fingerprint: RequestFingerprint) -> bool {
        self.verdict(fingerprint) == CrashVerdict::Trusted
    }

    fn verdict(&self, fingerprint: RequestFingerprint) -> CrashVerdict {
        self.state.lock().crashes.verdict(fingerprint, Instant::now())
    }
}

fn crash_refusal(wait: Duration) -> Refusal {
    Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, CRASHES_REASON).retry_after(wait)
}
