//! Heartbeat that each host gossips to the others.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::fleet::ConfigurationPosition;
use crate::fleet::RegionLoads;
use crate::fleet::SightingReport;
use crate::fleet::StateVersion;
use crate::ids::ConfigurationNumber;
use crate::ids::CustomerId;
use crate::ids::DomainId;
use crate::ids::Era;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::RegionId;
use crate::ids::Revision;
use crate::ids::ServiceId;

/// Whether a host takes new callers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HostPhase {
    /// The host has no configuration or no targets yet.
    Starting,
    /// The host takes new callers.
    Serving,
    /// The host is shutting down and takes no new callers.
    Leaving,
}

/// State of a host as of one heartbeat, sent by the host and forwarded by others.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HostHeartbeat {
    /// Name that is unique in the fleet.
    pub host: HostId,
    /// Random number drawn at the start of the process; it identifies the process but does not order restarts.
    pub incarnation: Incarnation,
    /// Sequence number of the heartbeat within the process.
    pub beat: u64,
    /// Whether the host takes new callers.
    pub phase: HostPhase,
    /// Failure domain that the host runs in.
    pub failure_domain: DomainId,
    /// Region that contains the failure domain.
    pub region: RegionId,
    /// Address on which the host accepts callers.
    pub callers: SocketAddr,
    /// Address on which the host accepts messages of other hosts.
    pub mesh: SocketAddr,
    /// Processor capacity in cores; callers are distributed in proportion to it.
    pub capacity: f64,
    /// Revision of the latest change that the host has applied, for each part of the state in the order of `StatePart`.
    pub applied: [Revision; 3],
    /// Era of the store in which each of these revisions was given out.
    #[serde(default)]
    pub eras: [Era; 3],
    /// Number of the configuration in force, 0 if there is none or the host does not tell.
    #[serde(default)]
    pub configuration_number: ConfigurationNumber,
    /// Whether the host's latest calls to the store were answered; also true for a host that made none.
    pub reaches_store: bool,
    /// Whether the host follows the store itself and its latest calls were answered.
    #[serde(default)]
    pub follows_store: bool,
    /// When the store answered some host, as far as the host knows; `None` in a heartbeat that another host forwards, whose
    /// age is not known.
    #[serde(default)]
    pub store_seen: Option<SightingReport>,
    /// Whether the host can open connections to targets.
    #[serde(default = "reaches_by_default")]
    pub reaches_targets: bool,
    /// Number of hosts that the host knows, itself included.
    pub fleet: usize,
    /// Requests a second of each customer whose tokens the host keeps, summed over all hosts of its region.
    pub demand: IndexMap<CustomerId, f32>,
    /// Share of requests, 0 to 1, that the host sends outside its region, by service.
    pub spill: IndexMap<ServiceId, f64>,
    /// Loads of the targets that the host measured, by service.
    #[serde(default)]
    pub loads: IndexMap<ServiceId, RegionLoads>,
}

/// Hosts of an earlier version do not tell, and count as reaching targets.
fn reaches_by_default() -> bool {
    true
}

impl HostHeartbeat {
    /// Returns the latest change that the host has applied of a part, by its index in `applied`.
    pub fn applied_version(&self, part: usize) -> StateVersion {
        StateVersion { era: self.eras[part], revision: self.applied[part] }
    }

    /// Returns the place of the configuration in force.
    pub fn configuration_position(&self) -> ConfigurationPosition {
        ConfigurationPosition {
            stored_at: self.applied_version(0),
            number: self.configuration_number,
        }
    }

    pub(super) fn set_configuration_position(&mut self, position: ConfigurationPosition) {
        self.applied[0] = position.stored_at.revision;
        self.eras[0] = position.stored_at.era;
        self.configuration_number = position.number;
    }

    /// Returns the latest era of the store that the host has read.
    pub fn store_era(&self) -> Era {
        self.eras.into_iter().max().unwrap_or_default()
    }

    /// Returns the heartbeat without demand, spill and loads, which are the bulk of it, and without ages. All of these are soon
    /// out of date, so that hosts send only their own.
    pub fn without_measurements(&self) -> Self {
        let empty = (IndexMap::new(), IndexMap::new(), IndexMap::new());
        Self {
            demand: empty.0,
            spill: empty.1,
            loads: empty.2,
            store_seen: None,
            host: self.host.clone(),
            failure_domain: self.failure_domain.clone(),
            region: self.region.clone(),
            ..*self
        }
    }
}
