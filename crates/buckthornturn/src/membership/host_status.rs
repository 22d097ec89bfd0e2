//! What this host says about itself.

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

/// Names and addresses of this host.
#[derive(Clone, Debug)]
pub struct HostIdentity {
    /// Name.
    pub host: HostId,
    /// Process start.
    pub incarnation: Incarnation,
    /// Failure domain.
    pub failure_domain: DomainId,
    /// Region.
    pub region: RegionId,
    /// Callers' address.
    pub caller_address: SocketAddr,
    /// Mesh address.
    pub mesh_address: SocketAddr,
}

/// What this host says about itself, gathered from its parts at each heartbeat.
pub struct HostStatus {
    identity: HostIdentity,
    configuration: ConfigurationCell,
    freshness: FreshnessCell,
    plans: PlanCell,
    store: Arc<StoreGuard>,
    is_leaving: AtomicBool,
}

impl HostStatus {
    /// The status of a host that has just started.
    pub fn new(
        identity: HostIdentity,
        configuration: ConfigurationCell,
        freshness: FreshnessCell,
        plans: PlanCell,
        store: Arc<StoreGuard>,
    ) -> Self {
        Self {
            identity,
            configuration,
            freshness,
            plans,
            store,
            is_leaving: AtomicBool::new(false),
        }
    }

    /// Names and addresses.
    pub fn identity(&self) -> &HostIdentity {
        &self.identity
    }

    /// Says from now on that this host is leaving.
    pub fn set_leaving(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
    }

    /// Whether the store may take a change of this host.
    pub fn reaches_store(&self, now: Instant) -> bool {
        self.store.is_reached(now)
    }

    /// State to tell others.
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
            plan_shrunk: self.plans.shrunk(),
            plan_digest: self.plan_digest(),
        }
    }

    /// This host as a member.
    pub fn member_entry(&self, now: Instant) -> MemberEntry {
        let own = self.heartbeat(now);
        MemberEntry {
            host: own.host,
            incarnation: own.incarnation,
            failure_domain: own.failure_domain,
            region: own.region,
            callers: Some(own.callers),
            mesh: own.mesh,
            health: if own.leaving { MemberHealth::Leaving } else { MemberHealth::Live },
            revision: own.revision,
            heard_ago: Some(Duration::ZERO),
            plan_shrunk: own.plan_shrunk,
            store_reached: own.store_reached,
            confirmation_age: own.confirmation_age,
        }
    }

    fn plan_digest(&self) -> u64 {
        let plans = self.plans.load();
        let scores =
            plans.values().map(|plan| rendezvous_score(&[&plan.domain, &plan.epoch.to_string()]));
        scores.fold(0, |digest, score| digest ^ score)
    }
}
