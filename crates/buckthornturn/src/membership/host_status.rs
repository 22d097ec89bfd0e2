//! The state that this host reports about itself in heartbeats and in the member list.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use coordination::ids::DomainId;
use coordination::ids::HostId;
use coordination::ids::Incarnation;
use coordination::ids::RegionId;
use coordination::rendezvous::rendezvous_score;

use crate::configuration::ConfigurationCell;
use crate::interface::FreshnessCell;
use crate::interface::Heartbeat;
use crate::interface::MemberEntry;
use crate::interface::MemberHealth;
use crate::interface::PlanCell;
use crate::store::StoreGuard;

/// Names and addresses of this host, fixed for the life of the process.
#[derive(Clone, Debug)]
pub struct HostIdentity {
    /// Name by which the other hosts know this host.
    pub host: HostId,
    /// Number that tells this process apart from earlier ones of the same host.
    pub incarnation: Incarnation,
    /// Failure domain in which the host runs.
    pub failure_domain: DomainId,
    /// Region of the failure domain.
    pub region: RegionId,
    /// Address on which callers are served.
    pub caller_address: SocketAddr,
    /// Address on which other hosts are served.
    pub mesh_address: SocketAddr,
}

/// Collects the state that this host reports about itself; each call reads the current values.
pub struct HostStatus {
    identity: HostIdentity,
    configuration: ConfigurationCell,
    freshness: FreshnessCell,
    plans: PlanCell,
    store_guard: Arc<StoreGuard>,
    is_leaving: AtomicBool,
}

impl HostStatus {
    /// Creates the status of a host that is not leaving.
    pub fn new(
        identity: HostIdentity,
        configuration: ConfigurationCell,
        freshness: FreshnessCell,
        plans: PlanCell,
        store_guard: Arc<StoreGuard>,
    ) -> Self {
        Self {
            identity,
            configuration,
            freshness,
            plans,
            store_guard,
            is_leaving: AtomicBool::new(false),
        }
    }

    /// Names and addresses that were given at the start.
    pub fn identity(&self) -> &HostIdentity {
        &self.identity
    }

    /// Reports this host as leaving from now on; there is no way back.
    pub fn set_leaving(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
    }

    /// Whether the store may still accept a change from this host; see [`StoreGuard::is_reached`].
    pub fn reaches_store(&self, now: Instant) -> bool {
        self.store_guard.is_reached(now)
    }

    /// Builds the heartbeat to send to other hosts at `now`.
    pub fn heartbeat(&self, now: Instant) -> Heartbeat {
        let identity = &self.identity;
        Heartbeat {
            host: identity.host.clone(),
            incarnation: identity.incarnation,
            failure_domain: identity.failure_domain.clone(),
            region: identity.region.clone(),
            callers: identity.caller_address,
            mesh: identity.mesh_address,
            revision: self.configuration.load().revision,
            leaving: self.is_leaving.load(Ordering::Relaxed),
            confirmation_age: self.freshness.age(now),
            store_reached: self.reaches_store(now),
            plan_shrunk: self.plans.shrunk_epoch(),
            plan_digest: self.plan_digest(),
        }
    }

    /// Builds the entry of this host in its own member list.
    pub fn member_entry(&self, now: Instant) -> MemberEntry {
        let heartbeat = self.heartbeat(now);
        MemberEntry {
            host: heartbeat.host,
            incarnation: heartbeat.incarnation,
            failure_domain: heartbeat.failure_domain,
            region: heartbeat.region,
            callers: Some(heartbeat.callers),
            mesh: heartbeat.mesh,
            health: if heartbeat.leaving { MemberHealth::Leaving } else { MemberHealth::Live },
            revision: heartbeat.revision,
            heard_ago: Some(Duration::ZERO),
            plan_shrunk: heartbeat.plan_shrunk,
            store_reached: heartbeat.store_reached,
            confirmation_age: heartbeat.confirmation_age,
        }
    }

    /// Digest of the failure domains and epochs of all known floor plans. XOR makes it independent of their order.
    fn plan_digest(&self) -> u64 {
        let plans = self.plans.load();
        let scores =
            plans.values().map(|plan| rendezvous_score(&[&plan.domain, &plan.epoch.to_string()]));
        scores.fold(0, |digest, score| digest ^ score)
    }
}
