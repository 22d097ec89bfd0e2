//! Stages of a request as types. The stage decides which refusal is possible: "not run" only where no byte can have
//! reached a target, or where the target itself said that it did not run the request.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use coordination::ids::TargetId;
use http::StatusCode;

use crate::callers::Refusal;
use crate::interface::AdmissionPermit;
use crate::interface::DispatchOutcome;
use crate::interface::PermitGuard;

/// The request is admitted, and no byte of it has been sent.
pub struct Admitted {
    permit: AdmissionPermit,
}

/// Bytes of the request may have been sent.
pub struct Dispatched {
    permit: AdmissionPermit,
    sent_at: Instant,
}

/// The head of the answer has arrived, and its body is being received.
pub struct Answered {
    guard: Box<dyn PermitGuard>,
    status: u16,
    first_byte: Duration,
}

/// Request at one stage, with its admission permit. Dropping it returns the slot and counts as a cancelled request.
pub struct RequestStage<S> {
    stage: S,
}

impl RequestStage<Admitted> {
    /// Wraps the permit of a request that the gate has admitted.
    pub fn new(permit: AdmissionPermit) -> Self {
        Self { stage: Admitted { permit } }
    }

    /// Target that the gate has chosen.
    pub fn target(&self) -> &TargetId {
        &self.stage.permit.target
    }

    /// Address of the chosen target.
    pub fn address(&self) -> SocketAddr {
        self.stage.permit.address
    }

    /// Ends the permit because no connection to the target could be opened.
    pub fn target_unreachable(self) -> Refusal {
        self.stage.permit.guard.finish(DispatchOutcome::NotSent);
        Refusal::not_run(StatusCode::BAD_GATEWAY, "target-unreachable")
    }

    /// Ends the permit because the request must not be sent after all, and returns `refusal`.
    pub fn refuse(self, refusal: Refusal) -> Refusal {
        self.stage.permit.guard.finish(DispatchOutcome::NotSent);
        refusal
    }

    /// Marks the request as dispatched; to be called before its first byte may be sent.
    pub fn dispatch(self) -> RequestStage<Dispatched> {
        let Admitted { permit } = self.stage;
        RequestStage { stage: Dispatched { permit, sent_at: Instant::now() } }
    }
}

impl RequestStage<Dispatched> {
    /// Goes back to the admitted stage, for a connection that returned the request before it wrote any byte of it.
    pub fn into_unsent(self) -> RequestStage<Admitted> {
        RequestStage::new(self.stage.permit)
    }

    /// Ends the permit because the target shed the request without running it.
    pub fn target_shed(self) -> Refusal {
        self.stage.permit.guard.finish(DispatchOutcome::Shed);
        Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "target-shed")
    }

    /// Ends the permit because no usable answer will arrive; the request may have run.
    pub fn fail(self, status: StatusCode, reason: &'static str) -> Refusal {
        self.stage.permit.guard.finish(DispatchOutcome::Failed);
        Refusal::unknown(status, reason)
    }

    /// Marks the arrival of the answer's head, with its HTTP status.
    pub fn answered(self, status: StatusCode) -> RequestStage<Answered> {
        let Dispatched { permit, sent_at } = self.stage;
        let first_byte = sent_at.elapsed();
        let guard = permit.guard;
        RequestStage { stage: Answered { guard, status: status.as_u16(), first_byte } }
    }
}

impl RequestStage<Answered> {
    /// Time from the dispatch to the arrival of the answer's head.
    pub fn first_byte(&self) -> Duration {
        self.stage.first_byte
    }

    /// Adds to the number of bytes transferred between this host and the target, in either direction.
    pub fn record_transfer(&mut self, bytes: u64) {
        self.stage.guard.record_transfer(bytes);
    }

    /// Ends the permit after the complete answer was received.
    pub fn complete(self) {
        let Answered { guard, status, first_byte } = self.stage;
        guard.finish(DispatchOutcome::Answered { status, first_byte });
    }

    /// Ends the permit because the body of the answer ended early.
    pub fn fail(self) {
        self.stage.guard.finish(DispatchOutcome::Failed);
    }
}
