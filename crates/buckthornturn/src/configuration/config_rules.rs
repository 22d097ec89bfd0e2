//! Checks rules that span several objects of a configuration, such as references between them.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::configuration::ConfigProblem;
use crate::configuration::ConfigurationState;
use crate::configuration::DrainScope;
use crate::configuration::ProfileSpec;
use crate::configuration::ServiceSpec;

/// Collects every violated rule of a state.
pub struct ConfigRules<'a> {
    state: &'a ConfigurationState,
    problems: Vec<ConfigProblem>,
}

impl<'a> ConfigRules<'a> {
    /// Returns every violated rule of a state, ordered by kind and object; empty if the state is valid.
    pub fn check(state: &'a ConfigurationState) -> Vec<ConfigProblem> {
        let mut rules = Self { state, problems: Vec::new() };
        rules.check_services();
        rules.check_targets();
        rules.check_profiles();
        rules.check_assignments();
        rules.check_customers();
        rules.check_links();
        rules.check_groups();
        rules.check_drains();
        rules.check_keys();
        rules.problems
    }

    fn report(&mut self, kind: &str, name: &str, field: &str, reason: String) {
        self.problems.push(ConfigProblem {
            kind: kind.into(),
            name: name.into(),
            field: field.into(),
            reason: reason.into(),
        });
    }

    fn check_services(&mut self) {
        let mut host_owners: IndexMap<Box<str>, &str> = IndexMap::new();
        for service in self.state.services.values() {
            for (index, host) in service.hosts.iter().enumerate() {
                let field = format!("hosts[{index}]");
                if host.contains(':') || host.contains('/') {
                    let reason = format!("`{host}` is not a host name without port");
                    self.report("service", &service.name, &field, reason);
                }
                let owner = host_owners.insert(host.to_ascii_lowercase().into(), &service.name);
                if let Some(owner) = owner {
                    let reason = format!("host name `{host}` is already that of service `{owner}`");
                    self.report("service", &service.name, &field, reason);
                }
            }
            self.check_routes(service);
        }
    }

    fn check_routes(&mut self, service: &ServiceSpec) {
        let (mut names, mut prefixes) = (IndexSet::new(), IndexSet::new());
        for (index, route) in service.routes.iter().enumerate() {
            if !names.insert(&route.name) {
                let field = format!("routes[{index}].name");
                let reason = format!("another route is named `{}`", route.name);
                self.report("service", &service.name, &field, reason);
            }
            if !prefixes.insert(&route.path_prefix) {
                let field = format!("routes[{index}].path_prefix");
                let reason = format!("another route has the prefix `{}`", route.path_prefix);
                self.report("service", &service.name, &field, reason);
            }
        }
    }

    fn check_targets(&mut self) {
        let mut address_owners = IndexMap::new();
        for target in self.state.targets.values() {
            if !self.state.services.contains_key(&target.service) {
                let reason = format!("there is no service `{}`", target.service);
                self.report("target", &target.name, "service", reason);
            }
            if !self.state.domains.contains_key(&target.failure_domain) {
                let reason = format!("there is no failure domain `{}`", target.failure_domain);
                self.report("target", &target.name, "failure_domain", reason);
            }
            if let Some(owner) = address_owners.insert(target.address, &target.name) {
                let reason = format!("{} is already the address of `{owner}`", target.address);
                self.report("target", &target.name, "address", reason);
            }
        }
    }

    fn check_profiles(&mut self) {
        for profile in self.state.profiles.values() {
            let positive_fields = [
                ("shift_cap_percent_per_minute", profile.shift_cap_percent_per_minute),
                ("max_utilization_percent", profile.max_utilization_percent),
            ];
            for (field, value) in positive_fields {
                if value.is_nan() || value <= 0.0 {
                    self.report("profile", &profile.name, field, format!("{value} is not above 0"));
                }
            }
            self.check_schedule(profile);
        }
    }

    fn check_schedule(&mut self, profile: &ProfileSpec) {
        for (index, drain) in profile.schedule.iter().enumerate() {
            let start = humantime::parse_rfc3339(&drain.start);
            let by = humantime::parse_rfc3339(&drain.by);
            match (start, by) {
                (Ok(start), Ok(by)) if start < by => {}
                (Ok(_), Ok(_)) => {
                    let reason = "the drain ends before it starts".to_owned();
                    let field = format!("schedule[{index}].by");
                    self.report("profile", &profile.name, &field, reason);
                }
                _ => {
                    let reason = "the dates are not UTC times".to_owned();
                    let field = format!("schedule[{index}].start");
                    self.report("profile", &profile.name, &field, reason);
                }
            }
            if let Some(reason) = self.missing_scope_reason(drain.scope, &drain.name) {
                let field = format!("schedule[{index}].name");
                self.report("profile", &profile.name, &field, reason);
            }
        }
    }

    fn missing_scope_reason(&self, scope: DrainScope, name: &str) -> Option<String> {
        let state = self.state;
        match scope {
            DrainScope::Target if !state.targets.contains_key(name) => {
                Some(format!("there is no target `{name}`"))
            }
            DrainScope::Domain if !state.domains.contains_key(name) => {
                Some(format!("there is no failure domain `{name}`"))
            }
            DrainScope::Region if !has_region(state, name) => {
                Some(format!("no failure domain lies in region `{name}`"))
            }
            _ => None,
        }
    }

    fn check_assignments(&mut self) {
        let mut assigned_services = IndexMap::new();
        for assignment in self.state.assignments.values() {
            if !self.state.services.contains_key(&assignment.service) {
                let reason = format!("there is no service `{}`", assignment.service);
                self.report("assignment", &assignment.name, "service", reason);
            }
            if !self.state.profiles.contains_key(&assignment.profile) {
                let reason = format!("there is no profile `{}`", assignment.profile);
                self.report("assignment", &assignment.name, "profile", reason);
            }
            if let Some(other) = assigned_services.insert(&assignment.service, &assignment.name) {
                let reason = format!("assignment `{other}` assigns this service already");
                self.report("assignment", &assignment.name, "service", reason);
            }
        }
    }

    fn check_customers(&mut self) {
        for customer in self.state.customers.values() {
            for (index, service) in customer.services.iter().enumerate() {
                if !self.state.services.contains_key(service) {
                    let reason = format!("there is no service `{service}`");
                    let field = format!("services[{index}]");
                    self.report("customer", &customer.name, &field, reason);
                }
            }
            if customer.burst.is_nan() || customer.burst < 1.0 {
                let reason = format!("a burst of {} lets no request through", customer.burst);
                self.report("customer", &customer.name, "burst", reason);
            }
            if customer.rate_per_second.is_nan() || customer.rate_per_second <= 0.0 {
                let reason = format!("{} is not above 0", customer.rate_per_second);
                self.report("customer", &customer.name, "rate_per_second", reason);
            }
        }
    }

    fn check_links(&mut self) {
        let mut link_directions = IndexMap::new();
        for link in self.state.links.values() {
            for (field, region) in [("from", &link.from), ("to", &link.to)] {
                if !has_region(self.state, region) {
                    let reason = format!("no failure domain lies in region `{region}`");
                    self.report("link", &link.name, field, reason);
                }
            }
            if link.from == link.to {
                let reason = "a link joins two different regions".to_owned();
                self.report("link", &link.name, "to", reason);
            }
            if let Some(other) = link_directions.insert((&link.from, &link.to), &link.name) {
                let reason = format!("link `{other}` has the same direction");
                self.report("link", &link.name, "from", reason);
            }
        }
    }

    fn check_groups(&mut self) {
        for group in self.state.groups.values() {
            for (index, region) in group.regions.iter().enumerate() {
                if !has_region(self.state, region) {
                    let reason = format!("no failure domain lies in region `{region}`");
                    self.report("group", &group.name, &format!("regions[{index}]"), reason);
                }
            }
        }
        for (block, group) in self.state.blocks.blocks() {
            if !self.state.groups.contains_key(group) {
                let reason = format!("there is no group `{group}`");
                self.report("block", &block.to_string(), "group", reason);
            }
        }
    }

    fn check_drains(&mut self) {
        for (name, order) in &self.state.drains {
            if let Some(reason) = self.missing_scope_reason(order.scope, &order.name) {
                self.report("drain", name, "name", reason);
            }
        }
    }

    fn check_keys(&mut self) {
        for key in self.state.keys.values().filter(|key| !key.withdrawn) {
            if !self.state.customers.contains_key(&key.customer) {
                let reason =
                    format!("there is no customer `{}`; withdraw the key first", key.customer);
                self.report("key", &key.id, "customer", reason);
            }
        }
    }
}

fn has_region(state: &ConfigurationState, region: &str) -> bool {
    state.domains.values().any(|domain| &*domain.region == region)
}
