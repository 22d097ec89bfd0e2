//! Stages of a request. The stage decides which refusal can be said: "not run" only where no byte can have
//! reached a target, or where the target itself said that it did not run it.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use coordination::ids::TargetId;
use http::StatusCode;

use crate::callers::Refusal;
use crate::interface::AdmissionPermit;
use crate::interface::DispatchOutcome;
use crate::interface::PermitGuard;

/// Leave to run is there; no byte has left.
pub struct Admitted {
    permit: AdmissionPermit,
}

/// Bytes may have left.
pub struct Dispatched {
    permit: AdmissionPermit,
    sent_at: Instant,
}

/// The head of the answer is there; its body runs.
pub struct Answered {
    guard: Box<dyn PermitGuard>,
    status: u16,
    first_byte: Duration,
}

/// A request at one stage of its life.
pub struct RequestStage<S> {
    stage: S,
}

impl RequestStage<Admitted> {
    /// A request that the gate admitted.
    pub fn new(permit: AdmissionPermit) -> Self {
        Self { stage: Admitted { permit } }
    }

    /// Target chosen.
    pub fn target(&self) -> &TargetId {
        &self.stage.permit.target
    }

    /// Address of the target.
    pub fn address(&self) -> SocketAddr {
        self.stage.permit.address
    }

    /// The target could not be reached.
    pub fn target_unreachable(self) -> Refusal {
        self.stage.permit.guard.finish(DispatchOutcome::NotSent);
        Refusal::not_run(StatusCode::BAD_GATEWAY, "target-unreachable")
    }

    /// The request is not to be sent after all.
    pub fn refuse(self, refusal: Refusal) -> Refusal {
        self.stage.permit.guard.finish(DispatchOutcome::NotSent);
        refusal
    }

    /// From here on bytes may leave.
    pub fn dispatch(self) -> RequestStage<Dispatched> {
        let Admitted { permit } = self.stage;
        RequestStage { stage: Dispatched { permit, sent_at: Instant::now() } }
    }
}

impl RequestStage<Dispatched> {
    /// The connection gave the request back before it wrote any byte of it.
    pub fn into_unsent(self) -> RequestStage<Admitted> {
        RequestStage::new(self.stage.permit)
    }

    /// The target said that it shed the request without running it.
    pub fn target_shed(self) -> Refusal {
        self.stage.permit.guard.finish(DispatchOutcome::Shed);
        Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "target-shed")
    }

    /// No whole answer will come.
    pub fn fail(self, status: StatusCode, reason: &'static str) -> Refusal {
        self.stage.permit.guard.finish(DispatchOutcome::Failed);
        Refusal::unknown(status, reason)
    }

    /// The head of the answer is there.
    pub fn answered(self, status: StatusCode) -> RequestStage<Answered> {
        let Dispatched { permit, sent_at } = self.stage;
        let first_byte = sent_at.elapsed();
        let guard = permit.guard;
        RequestStage { stage: Answered { guard, status: status.as_u16(), first_byte } }
    }
}

impl RequestStage<Answered> {
    /// Time from the dispatch to the head of the answer.
    pub fn first_byte(&self) -> Duration {
        self.stage.first_byte
    }

    /// Counts bytes that went between the caller's side and the target.
    pub fn record_transfer(&mut self, bytes: u64) {
        self.stage.guard.transferred(bytes);
    }

    /// The body has ended whole.
    pub fn complete(self) {
        let Answered { guard, status, first_byte } = self.stage;
        guard.finish(DispatchOutcome::Answered { status, first_byte });
    }

    /// The body was cut.
    pub fn fail(self) {
        self.stage.guard.finish(DispatchOutcome::Failed);
    }
}
