//! Input and result of placing a request on a target.

use std::net::SocketAddr;
use std::time::Duration;

use crate::fleet::ObjectWarmth;
use crate::ids::CustomerId;
use crate::ids::DomainId;
use crate::ids::RegionId;
use crate::ids::RouteId;
use crate::ids::ServiceId;
use crate::ids::TargetId;

/// Constraints and priorities of a request that is to be placed on a target.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
    /// Route of the request; service times are averaged by route.
    pub route: &'a RouteId,
    /// Service whose targets may run the request.
    pub service: &'a ServiceId,
    /// Customer that sent the request; `None` if it came without a key.
    pub customer: Option<&'a CustomerId>,
    /// Hash of the object that the request concerns; `None` places it without regard to warm objects.
    pub object_hash: Option<u64>,
    /// Regions whose targets may run the request; an empty slice allows all.
    pub allowed_regions: &'a [RegionId],
    /// Targets that earlier attempts used and that are not to be chosen again.
    pub excluded_targets: &'a [TargetId],
    /// Time until the request's deadline, after which its caller does not wait any more.
    pub time_left: Duration,
    /// Rank of the request, 0 the highest. While capacity is short, requests of higher rank come first.
    pub priority: u32,
}

/// Target chosen for a request, with the estimates behind the choice.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementChoice {
    /// Target to send the request to.
    pub target: TargetId,
    /// Start of the target's process, as in its entry.
    pub started_at: u64,
    /// Address on which the target listens.
    pub address: SocketAddr,
    /// Failure domain of the target.
    pub failure_domain: DomainId,
    /// What is known about whether the target holds the object warm.
    pub warmth: ObjectWarmth,
    /// Estimated requests of all hosts on the target before this one.
    pub load: f64,
    /// Expected wait before the target starts on the request.
    pub wait: Duration,
    /// Expected time until the answer, wait included.
    pub expected_time: Duration,
    /// Estimated requests per slot of the service in this host's region.
    pub pressure: f64,
}

/// Reason why no target was chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlacementRefusal {
    /// No target of the service may run the request.
    NoTarget,
    /// All targets that may run the request state limits, and none of them has room for a request of this host now.
    Limited {
        /// Shortest time until one is expected to have.
        wait: Duration,
    },
    /// All targets that may run the request asked for pauses, or state limits without room for it.
    Paused {
        /// Shortest time until one takes requests again.
        wait: Duration,
    },
    /// No target is expected to answer before the request's deadline.
    Busy {
        /// Time after which the caller may come back.
        pause: Duration,
        /// Shortest expected wait on a target, of the own region if it has any.
        wait: Duration,
        /// Estimated requests per slot of the service in this host's region.
        pressure: f64,
    },
    /// Targets could answer the request before its deadline, but requests that come first need the room.
    Deferred {
        /// Time after which the caller may come back.
        pause: Duration,
        /// Shortest expected wait on a target, of the own region if it has any.
        wait: Duration,
        /// Estimated requests per slot of the service in this host's region.
        pressure: f64,
    },
}
