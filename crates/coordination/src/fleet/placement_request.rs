//! What a request asks of placement, and the answer.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::DomainId;
use crate::ids::RegionId;
use crate::ids::RouteId;
use crate::ids::ServiceId;
use crate::ids::TargetId;

/// What a request asks of placement.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
    /// Route, by which service times are told apart.
    pub route: &'a RouteId,
    /// Service.
    pub service: &'a ServiceId,
    /// Hash of the object that it concerns.
    pub object_hash: Option<u64>,
    /// Regions where it may run; all if none is named.
    pub allowed_regions: &'a [RegionId],
    /// Targets that were tried.
    pub excluded_targets: &'a [TargetId],
    /// Time until the answer is of no use.
    pub time_left: Duration,
    /// Time from the caller's request within which an answer has its full worth.
    pub latency_objective: Duration,
    /// Rank of the request; 0 is the highest.
    pub priority: u32,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementChoice {
    /// Target.
    pub target: TargetId,
    /// Its address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: DomainId,
    /// Whether it handled the object lately for this host.
    pub is_warm: bool,
    /// Requests of all hosts there, as far as known.
    pub load: f64,
    /// Wait expected before the target starts on it.
    pub wait: Duration,
    /// Time expected until the answer.
    pub expected_time: Duration,
    /// Requests for each slot of the service in this host's region, as far as known.
    pub pressure: f64,
}

/// Why a request is not placed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlacementRefusal {
    /// No target of the service may run it.
    NoTarget,
    /// All targets are too busy for it.
    Busy {
        /// Shortest wait expected at any target.
        wait: Duration,
        /// Requests for each slot of the service in this host's region, as far as known.
        pressure: f64,
    },
}
