//! How a limit is cut over the failure domains of the configuration.

use std::time::Duration;
use std::time::Instant;

use coordination::customer_budget::RateLimit;
use coordination::floor_share::FloorKind;
use coordination::floor_share::sharing_domains;
use coordination::floor_share::units_at;
use coordination::ids::DomainId;

/// Time after a change of the list of domains before a larger part is used, so that hosts that have not seen the
/// change yet still count with the smaller one.
const SPLIT_SETTLE_TIME: Duration = Duration::from_secs(20);

/// The list of failure domains over which limits are cut, and the list before it while that may still be in force
/// elsewhere.
#[derive(Clone, Debug, Default)]
pub(crate) struct DomainSplit {
    domains: Vec<DomainId>,
    previous: Option<(Vec<DomainId>, Instant)>,
}

impl DomainSplit {
    /// Takes the list of a configuration in force.
    pub(crate) fn set_domains(&mut self, domains: Vec<DomainId>, now: Instant) {
        if domains != self.domains && !self.domains.is_empty() {
            let previous = std::mem::take(&mut self.domains);
            self.previous = Some((previous, now + SPLIT_SETTLE_TIME));
        }
        self.domains = domains;
    }

    /// Whether a list that was replaced has just gone out of use, so that parts are to be computed again.
    pub(crate) fn expire_previous(&mut self, now: Instant) -> bool {
        let is_expired = self.previous.as_ref().is_some_and(|(_, until)| *until <= now);
        if is_expired {
            self.previous = None;
        }
        is_expired
    }

    /// Part of a limit that a domain has. It is cut into whole tokens, as no host can use a fragment.
    pub(crate) fn domain_floor(&self, domain: &str, customer: &str, limit: RateLimit) -> RateLimit {
        let floor = domain_units(&self.domains, domain, customer, limit);
        match &self.previous {
            Some((previous, _)) => {
                let previous = domain_units(previous, domain, customer, limit);
                limit.fraction(floor.min(previous), limit.units())
            }
            None => limit.fraction(floor, limit.units()),
        }
    }
}

fn domain_units(domains: &[DomainId], domain: &str, customer: &str, limit: RateLimit) -> u64 {
    let chosen = sharing_domains(domains.iter(), FloorKind::Tokens, customer, limit.units());
    let position = chosen.iter().position(|name| &***name == domain);
    position.map_or(0, |position| units_at(limit.units(), chosen.len(), position))
}
