//! Slots of one target on this host: owned, lent and borrowed.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use coordination::held_slots::HeldSlots;
use coordination::ids::DomainId;
use coordination::ids::Epoch;
use coordination::ids::HostId;
use coordination::ids::RegionId;
use coordination::ids::ServiceId;
use coordination::slot_ledger::SlotLedger;
use indexmap::IndexMap;

/// Time for which an owner that had too few is not asked for more.
const DECLINE_BACKOFF: Duration = Duration::from_millis(200);
/// Time for which an owner is not asked again whose floor has not opened.
const CLOSED_FLOOR_BACKOFF: Duration = Duration::from_secs(1);

/// Whose slot a request fills.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum SlotSource {
    /// One of this host's own.
    Owned,
    /// One borrowed from a host.
    Borrowed(HostId),
}

/// Slots of one target on this host.
pub(crate) struct TargetSlots {
    pub(crate) service: ServiceId,
    pub(crate) address: SocketAddr,
    pub(crate) failure_domain: DomainId,
    pub(crate) region: RegionId,
    pub(crate) total: u32,
    pub(crate) is_floor_open: bool,
    pub(crate) is_configured: bool,
    pub(crate) owner: Option<HostId>,
    pub(crate) owner_epoch: Epoch,
    pub(crate) declined_at: Option<Instant>,
    pub(crate) ledger: SlotLedger,
    pub(crate) borrowed: IndexMap<HostId, HeldSlots>,
}

impl TargetSlots {
    /// Slots that may be filled now, those that are filled included.
    pub(crate) fn usable(&self, now: Instant) -> u32 {
        let owned = match self.is_floor_open {
            true => self.ledger.own_slots().max(self.ledger.own_in_flight()),
            false => self.ledger.own_in_flight(),
        };
        owned + self.borrowed.values().map(|held| held.usable(now)).sum::<u32>()
    }

    /// Requests in flight from this host.
    pub(crate) fn in_flight(&self) -> u32 {
        let borrowed = self.borrowed.values().map(HeldSlots::in_flight);
        self.ledger.own_in_flight() + borrowed.sum::<u32>()
    }

    /// Fills a slot, an owned one first.
    pub(crate) fn acquire(&mut self, now: Instant) -> Option<SlotSource> {
        if self.is_floor_open && self.ledger.start() {
            return Some(SlotSource::Owned);
        }
        self.borrowed
            .iter_mut()
            .find_map(|(owner, held)| held.start(now).then(|| SlotSource::Borrowed(owner.clone())))
    }

    /// Empties a slot.
    pub(crate) fn release(&mut self, source: &SlotSource) {
        match source {
            SlotSource::Owned => self.ledger.finish(),
            SlotSource::Borrowed(owner) => {
                if let Some(held) = self.borrowed.get_mut(owner) {
                    held.finish();
                }
            }
        }
    }

    /// Requests in flight on loans of other owners than the one given.
    pub(crate) fn in_flight_with_other_owners(&self, owner: &str) -> u32 {
        let others = self.borrowed.iter().filter(|(name, _)| &***name != owner);
        others.map(|(_, held)| held.in_flight()).sum()
    }

    /// Whether its owner has just granted less than was asked for.
    pub(crate) fn was_recently_declined(&self, now: Instant) -> bool {
        let backoff = match self.owner_epoch {
            0 => CLOSED_FLOOR_BACKOFF,
            _ => DECLINE_BACKOFF,
        };
        self.declined_at.is_some_and(|at| now.saturating_duration_since(at) < backoff)
    }

    /// Whether nothing of it is in use or lent, so that a lost floor has been given up.
    pub(crate) fn is_floor_released(&self) -> bool {
        !self.is_floor_open && self.ledger.own_in_flight() == 0 && self.ledger.lent() == 0
    }
}
