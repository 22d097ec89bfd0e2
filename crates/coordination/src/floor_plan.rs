//! Plan of which hosts hold the floors of a failure domain.

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::DomainId;
use crate::ids::Epoch;
use crate::ids::HostId;
use crate::ids::Incarnation;

/// Holders of one failure domain's floors. A plan with a later epoch replaces an earlier one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FloorPlan {
    /// Failure domain whose floors the plan assigns.
    pub domain: DomainId,
    /// Fencing number; each conditional write to the store increases it by 1.
    pub epoch: Epoch,
    /// Process starts that hold floors, by host and ordered by host name.
    pub holders: IndexMap<HostId, Incarnation>,
    /// Process starts that no longer hold floors but have not acknowledged giving up those of an earlier epoch. The plan
    /// waits for them as for holders, so that a new plan may be written before all have acknowledged the previous one.
    pub awaited: IndexMap<HostId, Incarnation>,
    /// Holders and awaited process starts of the previous epoch that are proved dead, so that no host waits for their
    /// acknowledgement.
    pub gone: IndexMap<HostId, Incarnation>,
}

impl FloorPlan {
    /// Creates the first plan of a domain, with epoch 1.
    pub fn first(domain: DomainId, holders: IndexMap<HostId, Incarnation>) -> Self {
        Self { domain, epoch: 1, holders, awaited: IndexMap::new(), gone: IndexMap::new() }
    }

    /// Creates the next plan with new holders. `is_dead` returns whether a process start is proved dead, `has_shrunk`
    /// whether it has acknowledged the current epoch. Unless the current plan `is_settled`, its dead process starts are
    /// carried over, because their loans may not have expired.
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
