//! Faults that a simulation injects.

use std::time::Duration;

use crate::budget_model::message_bus::DOMAIN_OF;
use crate::budget_model::message_bus::REGION_OF;

const FAULT_START: Duration = Duration::from_secs(20);
const FAULT_END: Duration = Duration::from_secs(40);
const PAUSE_END: Duration = Duration::from_secs(25);
const FAILED_HOST: usize = 0;
const CUT_DOMAIN: usize = 0;
const LOST_REGION: usize = 0;

/// Fault that one simulation run injects. Faults start at second 20, except `StoreOut`, which lasts for the whole run. The
/// pause and the cut end; the others do not.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultCase {
    None,
    HostKilled,
    HostPaused,
    DomainCut,
    StoreOut,
    RegionLost,
}

impl FaultCase {
    pub const ALL: [Self; 6] = [
        Self::None,
        Self::HostKilled,
        Self::HostPaused,
        Self::DomainCut,
        Self::StoreOut,
        Self::RegionLost,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Self::None => "all well",
            Self::HostKilled => "host killed",
            Self::HostPaused => "host paused 5 s",
            Self::DomainCut => "domain cut 20 s",
            Self::StoreOut => "store out",
            Self::RegionLost => "region lost",
        }
    }

    /// Whether a host is running at time `at`.
    pub fn is_up(self, host: usize, at: Duration) -> bool {
        match self {
            Self::HostKilled => host != FAILED_HOST || at < FAULT_START,
            Self::HostPaused => host != FAILED_HOST || !(FAULT_START..PAUSE_END).contains(&at),
            Self::RegionLost => REGION_OF[DOMAIN_OF[host]] != LOST_REGION || at < FAULT_START,
            Self::None | Self::DomainCut | Self::StoreOut => true,
        }
    }

    /// Whether two hosts can reach each other at time `at`.
    pub fn is_linked(self, one: usize, other: usize, at: Duration) -> bool {
        let is_cut = |host: usize| DOMAIN_OF[host] == CUT_DOMAIN;
        match self {
            Self::DomainCut if (FAULT_START..FAULT_END).contains(&at) => {
                is_cut(one) == is_cut(other)
            }
            _ => true,
        }
    }

    /// Whether a host can reach the store at time `at`. The store is in the region that `RegionLost` removes.
    pub fn reaches_store(self, host: usize, at: Duration) -> bool {
        match self {
            Self::StoreOut => false,
            Self::RegionLost => at < FAULT_START,
            Self::DomainCut if (FAULT_START..FAULT_END).contains(&at) => {
                DOMAIN_OF[host] != CUT_DOMAIN
            }
            _ => true,
        }
    }
}
