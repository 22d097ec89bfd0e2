//! Services with their host names and routes.

use coordination::ids::ServiceId;
use serde::Deserialize;
use serde::Serialize;

use crate::configuration::RouteSpec;

/// A service: the host names under which callers reach it, and its routes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Name of the service, unique in the configuration.
    pub name: ServiceId,
    /// Values of the `Host` header that select this service, without port. Case is ignored, and no other service may
    /// have the same one.
    pub hosts: Vec<Box<str>>,
    /// Routes of the service; the one with the longest matching path prefix applies.
    pub routes: Vec<RouteSpec>,
}
