//! Failure domains that get no requests.
//!
//! Load that this answers: operators who close a failure domain, and a store that comes back from a copy that lacks it.

use std::time::Instant;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::fleet::RECONCILE_TIME;
use crate::ids::DomainId;

/// Closed failure domains, as the store lists them and as it listed them before it came back from an older copy.
#[derive(Clone, Debug, Default)]
pub struct ClosedDomains {
    listed: IndexSet<DomainId>,
    held_until: IndexMap<DomainId, Instant>,
}

impl ClosedDomains {
    /// Records that the store lists a domain as closed.
    pub fn close(&mut self, domain: DomainId) {
        self.held_until.swap_remove(&domain);
        self.listed.insert(domain);
    }

    /// Records that a domain was opened.
    pub fn open(&mut self, domain: &str) {
        self.held_until.swap_remove(domain);
        self.listed.shift_remove(domain);
    }

    /// Forgets what the store listed, because it is listed whole again. After the store came back from an older copy,
    /// domains stay closed for `RECONCILE_TIME` unless they are listed or opened earlier.
    pub fn clear_listed(&mut self, is_new_era: bool, now: Instant) {
        let listed = std::mem::take(&mut self.listed);
        if is_new_era {
            let until = now + RECONCILE_TIME;
            self.held_until.extend(listed.into_iter().map(|domain| (domain, until)));
        }
    }

    /// Opens domains that the store has not listed again in time, and returns whether there were any.
    pub fn release(&mut self, now: Instant) -> bool {
        let count = self.held_until.len();
        self.held_until.retain(|_, until| now < *until);
        self.held_until.len() < count
    }

    /// Returns the domains that the store lists, which other hosts may take over.
    pub fn listed(&self) -> impl Iterator<Item = &DomainId> {
        self.listed.iter()
    }

    /// Returns all domains that get no requests now.
    pub fn domains(&self) -> IndexSet<DomainId> {
        self.listed.iter().chain(self.held_until.keys()).cloned().collect()
    }
}
