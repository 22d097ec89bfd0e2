//! Admission: the decision whether, when and where a request runs.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use coordination::ids::CustomerId;
use coordination::ids::DomainId;
use coordination::ids::RegionId;
use coordination::ids::RouteId;
use coordination::ids::ServiceId;
use coordination::ids::TargetId;
use futures::future::BoxFuture;

use crate::configuration::PriorityClass;

/// A request that asks for admission.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Identifier for the log.
    pub request_id: Box<str>,
    /// Customer; `None` on a route open to all without a key.
    pub customer: Option<CustomerId>,
    /// Service.
    pub service: ServiceId,
    /// Route.
    pub route: RouteId,
    /// Class of the route.
    pub priority: PriorityClass,
    /// Whether it may be executed more than once.
    pub repeatable: bool,
    /// Time by which it must have been answered.
    pub deadline: Instant,
    /// Length of the body, if said.
    pub body_bytes: Option<u64>,
    /// Targets that it was tried on already.
    pub excluded: Vec<TargetId>,
    /// 0 at first, then the number of the retry. A retry pays from the retry budget, not from the customer's rate.
    pub attempt: u32,
}

/// How a dispatch ended, told when the slot is given back.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchOutcome {
    /// The target answered whole.
    Answered {
        /// HTTP status.
        status: u16,
        /// Time to the first byte of the answer.
        first_byte: Duration,
    },
    /// The target shed the request without running it.
    Shed,
    /// Connecting failed; no byte was sent.
    NotSent,
    /// The target failed after bytes were sent.
    Failed,
    /// The caller went away.
    Cancelled,
}

/// Takes the slot back; implemented by the gate.
pub trait PermitGuard: Send {
    /// Bytes that went between regions for this request, to be counted against the link.
    fn record_transfer(&mut self, bytes: u64);

    /// Ends the permit. A permit dropped without this counts as `Cancelled`.
    fn finish(self: Box<Self>, outcome: DispatchOutcome);
}

/// Leave to send one request to one target. Dropping it gives the slot back.
pub struct AdmissionPermit {
    /// Target chosen.
    pub target: TargetId,
    /// Its address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: DomainId,
    /// Its region.
    pub region: RegionId,
    /// Time waited in the queue.
    pub queue_wait: Duration,
    /// Guard of the slot.
    pub guard: Box<dyn PermitGuard>,
}

/// Why a request was not admitted. No byte of it has reached a target.
#[derive(Clone, Debug, PartialEq)]
pub enum AdmissionRefusal {
    /// The customer is over its rate.
    RateExceeded {
        /// When a token will be there.
        retry_after: Duration,
    },
    /// No slot within the deadline.
    NoCapacity {
        /// When a slot is likely.
        retry_after: Duration,
    },
    /// The customer's queue is full.
    QueueFull {
        /// When room is likely.
        retry_after: Duration,
    },
    /// No target of the service can be used from here.
    NoTarget {
        /// When to come back.
        retry_after: Duration,
    },
    /// Nothing is in force on this host yet.
    NoConfiguration {
        /// When to come back.
        retry_after: Duration,
    },
    /// The retry budget is spent.
    RetryBudget,
}

/// The gate that every request passes.
pub trait AdmissionGate: Send + Sync {
    /// Decides on one request, waiting in the queue at most until its deadline.
    fn admit(
        &self,
        request: AdmissionRequest,
    ) -> BoxFuture<'_, Result<AdmissionPermit, AdmissionRefusal>>;
}
