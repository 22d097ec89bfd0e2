//! Slots of one target on this host: owned, lent and borrowed ones.

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

/// Time for which an owner that granted less than requested is not asked for more.
const DECLINE_BACKOFF: Duration = Duration::from_millis(200);
/// Time for which an owner whose floor has not opened yet is not asked again.
const CLOSED_FLOOR_BACKOFF: Duration = Duration::from_secs(1);

/// Which host's slot a request uses.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum SlotSource {
    /// A slot that this host owns.
    Owned,
    /// A slot borrowed from the given owner.
    Borrowed(HostId),
}

/// Slots of one target on this host.
pub(crate) struct TargetSlots {
    pub(crate) service: ServiceId,
    pub(crate) address: SocketAddr,
    pub(crate) failure_domain: DomainId,
    pub(crate) region: RegionId,
    /// Configured slots of the target over the whole fleet.
    pub(crate) total: u32,
    /// Whether this host may use and lend the target's floor now.
    pub(crate) is_floor_open: bool,
    /// Whether the current configuration contains the target; if not, only running requests keep the entry.
    pub(crate) is_configured: bool,
    /// Holder of the target's floor by the latest plan; `None` if there is none.
    pub(crate) owner: Option<HostId>,
    /// Plan epoch in the owner's last reply; 0 before the first reply and if the owner's floor was not open.
    pub(crate) owner_epoch: Epoch,
    /// When an owner last granted less than requested or did not reply; `None` after a full grant.
    pub(crate) declined_at: Option<Instant>,
    /// Owned slots, in use here or lent.
    pub(crate) ledger: SlotLedger,
    /// Borrowed slots, by owner. Slots of earlier owners stay until their requests have ended.
    pub(crate) borrowed: IndexMap<HostId, HeldSlots>,
}

impl TargetSlots {
    /// Number of slots that requests of this host may use now, including those in use.
    pub(crate) fn usable(&self, now: Instant) -> u32 {
        let owned = match self.is_floor_open {
            true => self.ledger.own_slots().max(self.ledger.own_in_flight()),
            false => self.ledger.own_in_flight(),
        };
        owned + self.borrowed.values().map(|held| held.usable(now)).sum::<u32>()
    }

    /// Number of requests in flight from this host.
    pub(crate) fn in_flight(&self) -> u32 {
        let borrowed = self.borrowed.values().map(HeldSlots::in_flight);
        self.ledger.own_in_flight() + borrowed.sum::<u32>()
    }

    /// Acquires a free slot, preferably an owned one; `None` if none is free.
    pub(crate) fn acquire(&mut self, now: Instant) -> Option<SlotSource> {
        if self.is_floor_open && self.ledger.start_own_request() {
            return Some(SlotSource::Owned);
        }
        self.borrowed.iter_mut().find_map(|(owner, held)| {
            held.start_request(now).then(|| SlotSource::Borrowed(owner.clone()))
        })
    }

    /// Releases a slot that `acquire` returned.
    pub(crate) fn release(&mut self, source: &SlotSource) {
        match source {
            SlotSource::Owned => self.ledger.finish_own_request(),
            SlotSource::Borrowed(owner) => {
                if let Some(held) = self.borrowed.get_mut(owner) {
                    held.finish_request();
                }
            }
        }
    }

    /// Number of requests in flight on slots borrowed from any owner but the given one.
    pub(crate) fn in_flight_with_other_owners(&self, owner: &str) -> u32 {
        let others = self.borrowed.iter().filter(|(name, _)| &***name != owner);
        others.map(|(_, held)| held.in_flight()).sum()
    }

    /// Whether the owner declined, in whole or in part, so recently that it should not be asked again yet.
    pub(crate) fn was_recently_declined(&self, now: Instant) -> bool {
        let backoff = match self.owner_epoch {
            0 => CLOSED_FLOOR_BACKOFF,
            _ => DECLINE_BACKOFF,
        };
        self.declined_at.is_some_and(|at| now.saturating_duration_since(at) < backoff)
    }

    /// Whether this host no longer uses or lends any owned slot, so that a lost floor can be acknowledged as released.
    pub(crate) fn is_floor_released(&self) -> bool {
        !self.is_floor_open && self.ledger.own_in_flight() == 0 && self.ledger.lent() == 0
    }
}
