//! How a limit is cut over the failure domains of the configuration.

use std::time::Duration;
use std::time::Instant;

use coordination::customer_budget::RateLimit;
use coordination::floor_share::FloorKind;
use coordination::floor_share::sharing_domains;
use coordination::floor_share::units_at_position;
use coordination::ids::DomainId;

/// Time after a change of the list of domains before a larger part is used, so that hosts that have not seen the
/// change yet still count with the smaller one.
const CUT_SETTLES_AFTER: Duration = Duration::from_secs(20);

/// The list of failure domains over which limits are cut, and the list before it while that may still be in force
/// elsewhere.
#[derive(Clone, Debug, Default)]
pub(crate) struct DomainCut {
    domains: Vec<DomainId>,
    earlier: Option<(Vec<DomainId>, Instant)>,
}

impl DomainCut {
    /// Takes the list of a configuration in force.
    pub(crate) fn set(&mut self, domains: Vec<DomainId>, now: Instant) {
        if domains != self.domains && !self.domains.is_empty() {
            let earlier = std::mem::take(&mut self.domains);
            self.earlier = Some((earlier, now + CUT_SETTLES_AFTER));
        }
        self.domains = domains;
    }

    /// Whether a list that was replaced has just gone out of use, so that parts are to be computed again.
    pub(crate) fn settle(&mut self, now: Instant) -> bool {
        let is_over = self.earlier.as_ref().is_some_and(|(_, until)| *until <= now);
        if is_over {
            self.earlier = None;
        }
        is_over
    }

    /// Part of a limit that a domain has. It is cut into whole tokens, as no host can use a fragment.
    pub(crate) fn floor(&self, domain: &str, customer: &str, limit: RateLimit) -> RateLimit {
        let floor = units_in(&self.domains, domain, customer, limit);
        match &self.earlier {
            Some((earlier, _)) => {
                let earlier = units_in(earlier, domain, customer, limit);
                limit.fraction(floor.min(earlier), limit.whole_tokens())
            }
            None => limit.fraction(floor, limit.whole_tokens()),
        }
    }
}

fn units_in(domains: &[DomainId], domain: &str, customer: &str, limit: RateLimit) -> u64 {
    let chosen = sharing_domains(domains.iter(), FloorKind::Tokens, customer, limit.whole_tokens());
    let position = chosen.iter().position(|name| &***name == domain);
    position.map_or(0, |position| units_at_position(limit.whole_tokens(), chosen.len(), position))
}
