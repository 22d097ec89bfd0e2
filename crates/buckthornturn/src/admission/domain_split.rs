//! Division of customer limits over the configured failure domains.

use std::time::Duration;
use std::time::Instant;

use coordination::customer_budget::RateLimit;
use coordination::floor_share::FloorKind;
use coordination::floor_share::sharing_domains;
use coordination::floor_share::units_at_position;
use coordination::ids::DomainId;

/// Time after a change of the domain list for which a domain uses the smaller of its old and new shares, because hosts
/// that have not seen the change yet still use the old ones.
const SPLIT_SETTLE_TIME: Duration = Duration::from_secs(20);

/// The failure domains over which limits are divided, and the previous list while other hosts may still use it.
#[derive(Clone, Debug, Default)]
pub(crate) struct DomainSplit {
    domains: Vec<DomainId>,
    /// The previous list, and when it expires.
    previous: Option<(Vec<DomainId>, Instant)>,
}

impl DomainSplit {
    /// Sets the domains of a newly applied configuration.
    pub(crate) fn set_domains(&mut self, domains: Vec<DomainId>, now: Instant) {
        if domains != self.domains && !self.domains.is_empty() {
            let previous = std::mem::take(&mut self.domains);
            self.previous = Some((previous, now + SPLIT_SETTLE_TIME));
        }
        self.domains = domains;
    }

    /// Drops the previous list once it has expired. Returns whether it did, in which case floors must be recomputed.
    pub(crate) fn expire_previous(&mut self, now: Instant) -> bool {
        let is_expired = self.previous.as_ref().is_some_and(|(_, until)| *until <= now);
        if is_expired {
            self.previous = None;
        }
        is_expired
    }

    /// Returns a domain's share of a limit. Only whole tokens are divided, because no host can use a fraction of one.
    pub(crate) fn domain_floor(&self, domain: &str, customer: &str, limit: RateLimit) -> RateLimit {
        let floor = domain_units(&self.domains, domain, customer, limit);
        match &self.previous {
            Some((previous, _)) => {
                let previous = domain_units(previous, domain, customer, limit);
                limit.fraction(floor.min(previous), limit.whole_tokens())
            }
            None => limit.fraction(floor, limit.whole_tokens()),
        }
    }
}

/// Whole tokens of a limit that a domain gets under one list of domains; 0 if the domain gets none.
fn domain_units(domains: &[DomainId], domain: &str, customer: &str, limit: RateLimit) -> u64 {
    let chosen = sharing_domains(domains.iter(), FloorKind::Tokens, customer, limit.whole_tokens());
    let position = chosen.iter().position(|name| &***name == domain);
    position.map_or(0, |position| units_at_position(limit.whole_tokens(), chosen.len(), position))
}
