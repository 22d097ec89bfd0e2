//! Which hosts hold the floors of a failure domain.

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::DomainId;
use crate::ids::Epoch;
use crate::ids::HostId;
use crate::ids::Incarnation;

/// The holders of one failure domain's floors. A later epoch replaces an earlier one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FloorPlan {
    /// Failure domain whose floors are held.
    pub domain: DomainId,
    /// Fencing number; each conditional write in the store adds 1.
    pub epoch: Epoch,
    /// Process starts that hold floors, by host, ordered by name.
    pub holders: IndexMap<HostId, Incarnation>,
    /// Process starts that are no holders any more and are not known to have given up what they held under an
    /// earlier epoch. They are waited for like holders, so that a plan may follow another before all have
    /// acknowledged it.
    pub awaited: IndexMap<HostId, Incarnation>,
    /// Holders and awaited of the previous epoch that were proved dead, so that nobody waits for their acknowledgement.
    pub gone: IndexMap<HostId, Incarnation>,
}

impl FloorPlan {
    /// The first plan of a domain.
    pub fn first(domain: DomainId, holders: IndexMap<HostId, Incarnation>) -> Self {
        Self { domain, epoch: 1, holders, awaited: IndexMap::new(), gone: IndexMap::new() }
    }

    /// The plan that follows with other holders. `is_dead` tells process starts that are proved dead, `has_shrunk`
    /// those that reported the present epoch. The dead of the present epoch are carried on unless `is_settled`:
    /// their loans may still run.
    pub fn successor(
        &self,
        holders: IndexMap<HostId, Incarnation>,
        is_dead: impl Fn(&str, Incarnation) -> bool,
        has_shrunk: impl Fn(&str, Incarnation) -> bool,
        is_settled: bool,
    ) -> Self {
        let mut awaited = IndexMap::new();
        let mut gone = IndexMap::new();
        if !is_settled {
            gone.extend(self.gone.iter().map(|(host, start)| (host.clone(), *start)));
        }
        let earlier = self.holders.iter().map(|entry| (entry, true));
        let earlier = earlier.chain(self.awaited.iter().map(|entry| (entry, false)));
        for ((host, start), is_holder) in earlier {
            match holders.get(host) {
                _ if is_dead(host, *start) => drop(gone.insert(host.clone(), *start)),
                Some(kept) if kept == start => {}
                _ if !is_holder && has_shrunk(host, *start) => {}
                _ => drop(awaited.insert(host.clone(), *start)),
            }
        }
        Self { domain: self.domain.clone(), epoch: self.epoch + 1, holders, awaited, gone }
    }
}
