//! Drains that operators request.

use coordination::ids::DomainId;
use coordination::ids::ServiceId;
use serde::Deserialize;
use serde::Serialize;

/// Unit that an operator can drain, from the narrowest to the widest.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainScope {
    /// A single target of a service.
    Target,
    /// All targets of a failure domain.
    Domain,
    /// All failure domains of a region.
    Region,
}

/// Progress of draining a service in a failure domain, recorded when a drain starts or ends.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DrainPosition {
    /// Service whose traffic is moved.
    pub service: ServiceId,
    /// Failure domain from which the traffic is moved.
    pub domain: DomainId,
    /// Progress from 1 (nothing moved) over 0 (targets free of traffic) to -1 (callers moved as well).
    pub position: f64,
}

/// An operator's order to drain. `undrain` ends it; the ended order stays in the configuration while traffic moves
/// back, which the profile's shift cap limits.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DrainOrder {
    /// Whether `name` is a target, a failure domain or a region.
    pub scope: DrainScope,
    /// Name of the target, failure domain or region to drain.
    pub name: Box<str>,
    /// Time of acceptance, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// Time by which the traffic has to be moved, in milliseconds since the Unix epoch. If absent, it moves as fast as
    /// the shift caps allow.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub by_unix_ms: Option<u64>,
    /// Time at which `undrain` ended the order, in milliseconds since the Unix epoch; absent while it is active.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended_unix_ms: Option<u64>,
    /// Progress at the start, or at the end if the order was ended. For a failure domain that is missing here, the
    /// progress follows from other orders.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub anchors: Vec<DrainPosition>,
}

impl DrainOrder {
    /// Creates an active order without a deadline that starts at the given time.
    pub fn new(scope: DrainScope, name: Box<str>, started_unix_ms: u64) -> Self {
        Self {
            scope,
            name,
            started_unix_ms,
            by_unix_ms: None,
            ended_unix_ms: None,
            anchors: Vec::new(),
        }
    }

    /// Whether `undrain` has not ended the order yet.
    pub fn is_active(&self) -> bool {
        self.ended_unix_ms.is_none()
    }

    /// Returns the name of the configuration object, `SCOPE/NAME`, so that at most one order exists for each unit.
    pub fn object_name(&self) -> Box<str> {
        let scope = match self.scope {
            DrainScope::Target => "target",
            DrainScope::Domain => "domain",
            DrainScope::Region => "region",
        };
        format!("{scope}/{}", self.name).into()
    }
}
