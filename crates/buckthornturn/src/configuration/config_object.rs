//! Config object.

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

/// One configuration object, tagged by `kind`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ConfigObject {
    /// A failure domain.
    Domain(DomainSpec),
    /// A service.
    Service(ServiceSpec),
    /// A target.
    Target(TargetSpec),
    /// A profile.
    Profile(ProfileSpec),
    /// An assignment of a profile to a service.
    Assignment(AssignmentSpec),
    /// A customer.
    Customer(CustomerSpec),
    /// A link between regions.
    Link(LinkSpec),
    /// A steering group.
    Group(GroupSpec),
    /// A block of client addresses.
    Block(BlockSpec),
    /// A drain; written by `drain`, not by `apply`.
    Drain(DrainOrder),
    /// A key; written by `key grant`, not by `apply`.
    Key(KeyRecord),
}

impl ConfigObject {
    /// Kind as written in files.
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

    /// Name, unique within the kind.
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
