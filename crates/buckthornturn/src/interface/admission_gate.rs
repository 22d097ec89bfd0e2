//! Admission control: the decision whether, when and on which target a request runs.

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

/// A request as admission control sees it.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Identifier of the request in the log.
    pub request_id: Box<str>,
    /// Customer whose limits apply; `None` for a request without a key on an open route.
    pub customer: Option<CustomerId>,
    /// Service that the request is for.
    pub service: ServiceId,
    /// Route of the service that matched.
    pub route: RouteId,
    /// Priority class of the route.
    pub priority: PriorityClass,
    /// Whether the request may be executed more than once.
    pub repeatable: bool,
    /// Time by which the request must have been answered; it does not wait in the queue beyond it.
    pub deadline: Instant,
    /// Length of the body in bytes; `None` if the caller did not declare it.
    pub body_bytes: Option<u64>,
    /// Targets that are not chosen, as earlier attempts were sent to them.
    pub excluded: Vec<TargetId>,
    /// Number of the retry; 0 for the first attempt. A retry is charged to the retry budget, not to the customer's rate.
    pub attempt: u32,
}

/// Result of sending a request to a target, reported when the slot is released.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchOutcome {
    /// The target's answer was complete.
    Answered {
        /// HTTP status of the answer.
        status: u16,
        /// Time until the first byte of the answer.
        first_byte: Duration,
    },
    /// The target shed the request: it rejected the request without running it.
    Shed,
    /// No connection to the target could be opened, so no byte was sent.
    NotSent,
    /// The target failed after bytes of the request were sent, so it may have run the request.
    Failed,
    /// The caller disconnected before the answer was complete.
    Cancelled,
}

/// Releases the slot of a permit when it is finished or dropped; implemented by admission control.
pub trait PermitGuard: Send {
    /// Adds bytes that were sent between regions for this request to the usage of the link.
    fn record_transfer(&mut self, bytes: u64);

    /// Releases the slot with an outcome. A permit that is dropped instead counts as `Cancelled`.
    fn finish(self: Box<Self>, outcome: DispatchOutcome);
}

/// Permission to send one request to one target. Dropping it releases the slot.
pub struct AdmissionPermit {
    /// Target to which the request has to be sent.
    pub target: TargetId,
    /// Address on which the target accepts requests.
    pub address: SocketAddr,
    /// Failure domain of the target.
    pub failure_domain: DomainId,
    /// Region of the target.
    pub region: RegionId,
    /// Time that the request waited in the queue; zero if a slot was free at once.
    pub queue_wait: Duration,
    /// Guard that holds the slot until it is finished or dropped.
    pub guard: Box<dyn PermitGuard>,
}

/// Reason why a request was not admitted. No byte of the request has reached a target.
#[derive(Clone, Debug, PartialEq)]
pub enum AdmissionRefusal {
    /// The customer has exceeded its rate.
    RateExceeded {
        /// Time until a token is available.
        retry_after: Duration,
    },
    /// No slot became free in time.
    NoCapacity {
        /// Estimated time until a slot is free.
        retry_after: Duration,
    },
    /// The queue already holds as many requests of the customer as it may.
    QueueFull {
        /// Estimated time until the queue has room.
        retry_after: Duration,
    },
    /// This host can use no target of the service.
    NoTarget {
        /// Time after which the caller may try again.
        retry_after: Duration,
    },
    /// This host has no configuration yet.
    NoConfiguration {
        /// Time after which the caller may try again.
        retry_after: Duration,
    },
    /// The retry budget is exhausted; the request must not be retried.
    RetryBudget,
}

/// Admission control, which decides on each request before it is sent to a target.
pub trait AdmissionGate: Send + Sync {
    /// Decides on one request. It may wait in the queue, at most until the request's deadline.
    fn admit(
        &self,
        request: AdmissionRequest,
    ) -> BoxFuture<'_, Result<AdmissionPermit, AdmissionRefusal>>;
}
