//! All configuration objects in force at one revision.

use std::net::IpAddr;

use coordination::blocks::BlockTable;
use coordination::blocks::ClientBlock;
use coordination::ids::CustomerId;
use coordination::ids::KeyId;
use coordination::ids::RegionId;
use coordination::ids::Revision;
use coordination::ids::ServiceId;
use coordination::ids::TargetId;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::configuration::AssignmentSpec;
use crate::configuration::BlockSpec;
use crate::configuration::ConfigObject;
use crate::configuration::CustomerSpec;
use crate::configuration::DomainSpec;
use crate::configuration::DrainOrder;
use crate::configuration::DrainScope;
use crate::configuration::GroupSpec;
use crate::configuration::KeyRecord;
use crate::configuration::LinkSpec;
use crate::configuration::ProfileSpec;
use crate::configuration::RouteSpec;
use crate::configuration::ServiceSpec;
use crate::configuration::TargetSpec;

/// All configuration objects in force at one revision. Revision 0 is empty: no request can be routed.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ConfigurationState {
    /// Revision of the last change in the configuration log that this state includes.
    pub revision: Revision,
    /// Failure domains, keyed by name.
    pub domains: IndexMap<Box<str>, DomainSpec>,
    /// Services, keyed by name.
    pub services: IndexMap<ServiceId, ServiceSpec>,
    /// Targets of all services, keyed by name.
    pub targets: IndexMap<TargetId, TargetSpec>,
    /// Steering profiles, keyed by name.
    pub profiles: IndexMap<Box<str>, ProfileSpec>,
    /// Assignments of profiles to services, keyed by name of the assignment.
    pub assignments: IndexMap<Box<str>, AssignmentSpec>,
    /// Customers, keyed by name.
    pub customers: IndexMap<CustomerId, CustomerSpec>,
    /// Directed links between regions, keyed by name.
    pub links: IndexMap<Box<str>, LinkSpec>,
    /// Steering groups, keyed by name.
    #[serde(default)]
    pub groups: IndexMap<Box<str>, GroupSpec>,
    /// Names of steering groups, looked up by client address.
    #[serde(default)]
    pub blocks: BlockTable,
    /// Drains, active or ended, keyed by [`DrainOrder::object_name`].
    pub drains: IndexMap<Box<str>, DrainOrder>,
    /// Keys, withdrawn ones included, keyed by identifier.
    pub keys: IndexMap<KeyId, KeyRecord>,
}

impl ConfigurationState {
    /// Inserts an object, replacing the one with the same kind and name.
    pub fn put(&mut self, object: ConfigObject) {
        let name = object.name();
        match object {
            ConfigObject::Domain(spec) => drop(self.domains.insert(name, spec)),
            ConfigObject::Service(spec) => drop(self.services.insert(name, spec)),
            ConfigObject::Target(spec) => drop(self.targets.insert(name, spec)),
            ConfigObject::Profile(spec) => drop(self.profiles.insert(name, spec)),
            ConfigObject::Assignment(spec) => drop(self.assignments.insert(name, spec)),
            ConfigObject::Customer(spec) => drop(self.customers.insert(name, spec)),
            ConfigObject::Link(spec) => drop(self.links.insert(name, spec)),
            ConfigObject::Group(spec) => drop(self.groups.insert(name, spec)),
            ConfigObject::Block(spec) => self.put_block(&spec.name, &spec.group),
            ConfigObject::Drain(order) => drop(self.drains.insert(name, order)),
            ConfigObject::Key(record) => drop(self.keys.insert(name, record)),
        }
    }

    /// Removes an object and returns whether it existed. Keys are never removed.
    pub fn remove(&mut self, kind: &str, name: &str) -> bool {
        match kind {
            "domain" => self.domains.shift_remove(name).is_some(),
            "service" => self.services.shift_remove(name).is_some(),
            "target" => self.targets.shift_remove(name).is_some(),
            "profile" => self.profiles.shift_remove(name).is_some(),
            "assignment" => self.assignments.shift_remove(name).is_some(),
            "customer" => self.customers.shift_remove(name).is_some(),
            "link" => self.links.shift_remove(name).is_some(),
            "group" => self.groups.shift_remove(name).is_some(),
            "block" => name.parse().is_ok_and(|block| self.blocks.remove(block)),
            "drain" => self.drains.shift_remove(name).is_some(),
            _ => false,
        }
    }

    /// Inserts a block. A malformed one is ignored; changes with one are refused before they are accepted.
    fn put_block(&mut self, name: &str, group: &str) {
        if let Ok(block) = name.parse::<ClientBlock>() {
            let _ = self.blocks.insert(block, group);
        }
    }

    /// Finds a block by its name; `None` if the name is malformed or the block is not in the table.
    fn find_block(&self, name: &str) -> Option<BlockSpec> {
        let searched: ClientBlock = name.parse().ok()?;
        let (_, group) = self.blocks.blocks().find(|(block, _)| *block == searched)?;
        Some(BlockSpec { name: name.into(), group: group.into() })
    }

    /// Returns the regions for callers from an address, most preferred first; empty if no block contains the address.
    pub fn regions_for(&self, caller: IpAddr) -> &[RegionId] {
        let group = self.blocks.find_group(caller).and_then(|name| self.groups.get(name));
        group.map(|group| group.regions.as_slice()).unwrap_or_default()
    }

    /// Returns a copy of an object; `None` if the kind is unknown or no object has the name.
    pub fn object(&self, kind: &str, name: &str) -> Option<ConfigObject> {
        match kind {
            "domain" => self.domains.get(name).cloned().map(ConfigObject::Domain),
            "service" => self.services.get(name).cloned().map(ConfigObject::Service),
            "target" => self.targets.get(name).cloned().map(ConfigObject::Target),
            "profile" => self.profiles.get(name).cloned().map(ConfigObject::Profile),
            "assignment" => self.assignments.get(name).cloned().map(ConfigObject::Assignment),
            "customer" => self.customers.get(name).cloned().map(ConfigObject::Customer),
            "link" => self.links.get(name).cloned().map(ConfigObject::Link),
            "group" => self.groups.get(name).cloned().map(ConfigObject::Group),
            "block" => self.find_block(name).map(ConfigObject::Block),
            "drain" => self.drains.get(name).cloned().map(ConfigObject::Drain),
            "key" => self.keys.get(name).cloned().map(ConfigObject::Key),
            _ => None,
        }
    }

    /// Returns the profile assigned to a service; `None` if it has no assignment or the profile is missing.
    pub fn profile_of(&self, service: &str) -> Option<&ProfileSpec> {
        let assignment =
            self.assignments.values().find(|assignment| &*assignment.service == service)?;
        self.profiles.get(&assignment.profile)
    }

    /// Finds the service for a `Host` value without port, ignoring case, and its route with the longest matching
    /// path prefix.
    pub fn route_for(&self, host: &str, path: &str) -> Option<(&ServiceSpec, &RouteSpec)> {
        let service = self
            .services
            .values()
            .find(|service| service.hosts.iter().any(|name| name.eq_ignore_ascii_case(host)))?;
        let route = service
            .routes
            .iter()
            .filter(|route| prefix_matches(&route.path_prefix, path))
            .max_by_key(|route| route.path_prefix.len())?;
        Some((service, route))
    }

    /// Returns the region of a failure domain; `None` if the domain is unknown.
    pub fn region_of(&self, domain: &str) -> Option<&str> {
        self.domains.get(domain).map(|spec| &*spec.region)
    }

    /// Returns the active drain that covers a target. If there are several, one of the target comes before one of its
    /// failure domain, and that before one of its region.
    pub fn drain_of(&self, target: &TargetSpec) -> Option<&DrainOrder> {
        let region = self.region_of(&target.failure_domain);
        let covers = |order: &&DrainOrder| match order.scope {
            DrainScope::Target => order.name == target.name,
            DrainScope::Domain => order.name == target.failure_domain,
            DrainScope::Region => Some(&*order.name) == region,
        };
        self.drains
            .values()
            .filter(|order| order.is_active())
            .filter(covers)
            .min_by_key(|order| order.scope as u8)
    }
}

fn prefix_matches(prefix: &str, path: &str) -> bool {
    let rest = match path.strip_prefix(prefix) {
        Some(rest) => rest,
        None => return false,
    };
    prefix.ends_with('/') || rest.is_empty() || rest.starts_with('/')
}
