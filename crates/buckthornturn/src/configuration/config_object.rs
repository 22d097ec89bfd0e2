//! Configuration objects of every kind.

use serde::Deserialize;
use serde::Serialize;

use crate::configuration::AssignmentSpec;
use crate::configuration::BlockSpec;
use crate::configuration::CustomerSpec;
use crate::configuration::DomainSpec;
use crate::configuration::DrainOrder;
use crate::configuration::GroupSpec;
use crate::configuration::KeyRecord;
use crate::configuration::LinkSpec;
use crate::configuration::ProfileSpec;
use crate::configuration::ServiceSpec;
use crate::configuration::TargetSpec;

/// One configuration object; serialized with its kind in the field `kind`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ConfigObject {
    /// A failure domain and its region.
    Domain(DomainSpec),
    /// A service with its host names and routes.
    Service(ServiceSpec),
    /// One server of a service.
    Target(TargetSpec),
    /// A profile: limits for steering, queues, retries and stale keys.
    Profile(ProfileSpec),
    /// Assignment of a profile to a service.
    Assignment(AssignmentSpec),
    /// A customer and its limits.
    Customer(CustomerSpec),
    /// One direction of a link between two regions.
    Link(LinkSpec),
    /// A steering group: regions in order of preference.
    Group(GroupSpec),
    /// Steering group for a block of client addresses.
    Block(BlockSpec),
    /// A drain; only `drain` and `undrain` write it, `apply` does not accept it.
    Drain(DrainOrder),
    /// A caller's key; only `key grant` and `key withdraw` write it, `apply` does not accept it.
    Key(KeyRecord),
}

impl ConfigObject {
    /// Kind as spelled in files and in the field `kind`.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Domain(_) => "domain",
            Self::Service(_) => "service",
            Self::Target(_) => "target",
            Self::Profile(_) => "profile",
            Self::Assignment(_) => "assignment",
            Self::Customer(_) => "customer",
            Self::Link(_) => "link",
            Self::Group(_) => "group",
            Self::Block(_) => "block",
            Self::Drain(_) => "drain",
            Self::Key(_) => "key",
        }
    }

    /// Name that identifies the object within its kind; for a drain its scope and name, for a key its identifier.
    pub fn name(&self) -> Box<str> {
        match self {
            Self::Domain(spec) => spec.name.clone(),
            Self::Service(spec) => spec.name.clone(),
            Self::Target(spec) => spec.name.clone(),
            Self::Profile(spec) => spec.name.clone(),
            Self::Assignment(spec) => spec.name.clone(),
            Self::Customer(spec) => spec.name.clone(),
            Self::Link(spec) => spec.name.clone(),
            Self::Group(spec) => spec.name.clone(),
            Self::Block(spec) => spec.name.clone(),
            Self::Drain(order) => order.object_name(),
            Self::Key(record) => record.id.clone(),
        }
    }
}
