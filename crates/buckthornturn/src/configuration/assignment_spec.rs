//! Assignment of a profile to a service.

use coordination::ids::ProfileId;
use coordination::ids::ServiceId;
use serde::Deserialize;
use serde::Serialize;

/// Assigns a steering profile to a service. A service without an assignment has no profile.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AssignmentSpec {
    /// Name of the assignment, unique among assignments.
    pub name: Box<str>,
    /// Service that gets the profile; it may have only one assignment.
    pub service: ServiceId,
    /// Profile whose settings apply to the service.
    pub profile: ProfileId,
}
