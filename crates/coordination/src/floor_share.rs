//! Splits shared limits over failure domains and hosts; every host derives the same split.

use crate::floor_plan::FloorPlan;
use crate::ids::DomainId;
use crate::ids::HostId;
use crate::rendezvous::rendezvous_score;

/// 100% in parts per million.
pub const WHOLE_PPM: u32 = 1_000_000;

/// Kind of limit that a floor is a part of.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum FloorKind {
    /// Concurrent request slots of a target.
    Slots,
    /// A customer's rate and burst in tokens.
    Tokens,
    /// Bandwidth of a link between regions, in bytes.
    Bytes,
}

impl FloorKind {
    fn label(self) -> &'static str {
        match self {
            Self::Slots => "slots",
            Self::Tokens => "tokens",
            Self::Bytes => "bytes",
        }
    }
}

/// Host that holds the item's floor under a plan, chosen by rendezvous hashing; `None` if the plan has no holders.
pub fn floor_holder<'a>(plan: &'a FloorPlan, kind: FloorKind, item: &str) -> Option<&'a HostId> {
    plan.holders.keys().max_by_key(|host| (rendezvous_score(&[kind.label(), item, host]), *host))
}

/// Failure domains over which a limit is split evenly: all of them, or as many as there are whole `units`, at least
/// one. The order gives each its position for `units_at_position`.
pub fn sharing_domains<'a>(
    domains: impl Iterator<Item = &'a DomainId>,
    kind: FloorKind,
    item: &str,
    units: u64,
) -> Vec<&'a DomainId> {
    let mut chosen: Vec<_> = domains.collect();
    chosen.sort_by_cached_key(|domain| (rendezvous_score(&[kind.label(), item, domain]), *domain));
    chosen.truncate(usize::try_from(units).unwrap_or(usize::MAX).max(1));
    chosen
}

/// Whole units at one position of an even split over `parts`; the first positions get the remainder.
pub fn units_at_position(units: u64, parts: usize, position: usize) -> u64 {
    let parts = u64::try_from(parts).unwrap_or(u64::MAX).max(1);
    let position = u64::try_from(position).unwrap_or(u64::MAX);
    units / parts + u64::from(position < units % parts)
}

/// Share of one of `parts` equal parts, in parts per million, rounded down.
pub fn even_ppm(parts: usize) -> u32 {
    u32::try_from(parts).map_or(0, |parts| WHOLE_PPM / parts.max(1))
}
