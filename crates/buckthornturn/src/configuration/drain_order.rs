//! Drain order.

use coordination::ids::DomainId;
use coordination::ids::ServiceId;
use serde::Deserialize;
use serde::Serialize;

/// What an operator can drain.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainScope {
    /// One target.
    Target,
    /// A failure domain.
    Domain,
    /// A region.
    Region,
}

/// How far a failure domain was drained for a service when an order was accepted.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DrainPosition {
    /// Service.
    pub service: ServiceId,
    /// Failure domain.
    pub domain: DomainId,
    /// Position from 1 (nothing moved) through 0 (targets free) to -1 (callers moved too).
    pub position: f64,
}

/// An operator's order to drain. `undrain` ends it; the ended order stays while traffic moves back under the cap.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DrainOrder {
    /// What is drained.
    pub scope: DrainScope,
    /// Name of the target, failure domain or region.
    pub name: Box<str>,
    /// Acceptance, milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// End, milliseconds since the Unix epoch; absent means as soon as caps allow.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub by_unix_ms: Option<u64>,
    /// When it was ended by `undrain`, milliseconds since the Unix epoch; absent while it holds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended_unix_ms: Option<u64>,
    /// Positions at the start, or at the end if it was ended; a domain that is not named was where other orders
    /// had it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub anchors: Vec<DrainPosition>,
}

impl DrainOrder {
    /// An order that starts now.
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

    /// Whether it has not been ended.
    pub fn is_active(&self) -> bool {
        self.ended_unix_ms.is_none()
    }

    /// Name of the configuration object: scope and name, so that each can be drained once.
    pub fn object_name(&self) -> Box<str> {
        let scope = match self.scope {
            DrainScope::Target => "target",
            DrainScope::Domain => "domain",
            DrainScope::Region => "region",
        };
        format!("{scope}/{}", self.name).into()
    }
}
