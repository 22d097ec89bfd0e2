//! Hosts that may lend slots to this one, and what is requested of each.

use coordination::ids::HostId;
use coordination::ids::TargetId;
use indexmap::IndexMap;

use crate::admission::owner_state::LeaseRequest;

/// Slots requested of each owner, by target.
pub(crate) type LeaseRequestTable = IndexMap<HostId, IndexMap<TargetId, LeaseRequest>>;

/// Target of which an owner may lend slots to this host.
pub(crate) struct SlotLender {
    pub(crate) owner: HostId,
    pub(crate) target: TargetId,
    /// 0 in the own failure domain, 1 in the own region, 2 elsewhere.
    pub(crate) distance: u8,
    pub(crate) total: u32,
}

/// Requests missing slots, first from the nearest owners and the targets with the fewest slots requested so far, and at
/// most half of each target.
pub(crate) fn request_more(
    lenders: &[SlotLender],
    excluded: &[TargetId],
    missing: u32,
    requests: &mut LeaseRequestTable,
) {
    let requested = |requests: &LeaseRequestTable, lender: &SlotLender| {
        let wanted = requests.get(&lender.owner).and_then(|wanted| wanted.get(&lender.target));
        wanted.map_or(0, |request| request.wanted)
    };
    let is_allowed = |lender: &&SlotLender| !excluded.contains(&lender.target);
    let mut lenders: Vec<_> = lenders.iter().filter(is_allowed).collect();
    lenders.sort_by_key(|lender| (lender.distance, requested(requests, lender)));
    let mut remaining = missing;
    for lender in lenders {
        if remaining == 0 {
            break;
        }
        let available = lender.total.saturating_sub(requested(requests, lender));
        let extra = (lender.total / 2).max(1).min(available).min(remaining);
        remaining -= extra;
        let wanted = requests.entry(lender.owner.clone()).or_default();
        wanted.entry(lender.target.clone()).or_default().wanted += extra;
    }
}
