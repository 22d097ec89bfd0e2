//! A gate that splits every limit evenly over a fixed number of hosts.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use coordination::ids::CustomerId;
use coordination::ids::TargetId;
use futures::FutureExt;
use futures::future::BoxFuture;
use indexmap::IndexMap;
use spdlog::info;

use crate::configuration::ConfigurationCell;
use crate::configuration::ConfigurationState;
use crate::configuration::TargetSpec;
use crate::interface::AdmissionGate;
use crate::interface::AdmissionPermit;
use crate::interface::AdmissionRefusal;
use crate::interface::AdmissionRequest;
use crate::interface::DispatchOutcome;
use crate::interface::PermitGuard;

const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A gate with a static share of every limit.
pub struct LocalGate {
    cell: ConfigurationCell,
    hosts: u32,
    ledger: Arc<Mutex<GateLedger>>,
}

#[derive(Default)]
struct GateLedger {
    buckets: IndexMap<CustomerId, CustomerBucket>,
    in_flight: IndexMap<TargetId, u32>,
}

struct CustomerBucket {
    tokens: f64,
    filled_at: Instant,
}

struct SlotGuard {
    target: TargetId,
    ledger: Arc<Mutex<GateLedger>>,
}

impl LocalGate {
    /// A gate whose share is one part in `hosts`.
    pub fn new(cell: ConfigurationCell, hosts: u32) -> Self {
        Self { cell, hosts: hosts.max(1), ledger: Arc::default() }
    }

    fn decide(&self, request: &AdmissionRequest) -> Result<AdmissionPermit, AdmissionRefusal> {
        let state = self.cell.load();
        if state.revision == 0 {
            return Err(AdmissionRefusal::NoConfiguration { retry_after: RETRY_AFTER });
        }
        let mut ledger = self.ledger.lock().unwrap_or_else(PoisonError::into_inner);
        let target = self.choose(&state, request, &ledger)?;
        self.spend(&state, request, &mut ledger)?;
        *ledger.in_flight.entry(target.name.clone()).or_default() += 1;
        let region = state.region_of(&target.failure_domain).unwrap_or_default();
        info!("target chosen", kv: {
            request_id: = request.request_id, target: = target.name, revision = state.revision
        });
        Ok(AdmissionPermit {
            target: target.name.clone(),
            address: target.address,
            failure_domain: target.failure_domain.clone(),
            region: region.into(),
            queued: Duration::ZERO,
            guard: Box::new(SlotGuard {
                target: target.name.clone(),
                ledger: Arc::clone(&self.ledger),
            }),
        })
    }

    fn choose<'a>(
        &self,
        state: &'a ConfigurationState,
        request: &AdmissionRequest,
        ledger: &GateLedger,
    ) -> Result<&'a TargetSpec, AdmissionRefusal> {
        let busy = |target: &TargetSpec| ledger.in_flight.get(&target.name).copied().unwrap_or(0);
        state
            .targets
            .values()
            .filter(|target| target.service == request.service)
            .filter(|target| !request.excluded.contains(&target.name))
            .filter(|target| state.drain_of(target).is_none())
            .filter(|target| busy(target) < (target.slots / self.hosts).max(1))
            .min_by_key(|target| busy(target))
            .ok_or(AdmissionRefusal::NoCapacity { retry_after: RETRY_AFTER })
    }

    fn spend(
        &self,
        state: &ConfigurationState,
        request: &AdmissionRequest,
        ledger: &mut GateLedger,
    ) -> Result<(), AdmissionRefusal> {
        let Some(customer) = request.customer.as_ref().and_then(|name| state.customers.get(name))
        else {
            return Ok(());
        };
        let now = Instant::now();
        let share = 1.0 / f64::from(self.hosts);
        let bucket = ledger
            .buckets
            .entry(customer.name.clone())
            .or_insert(CustomerBucket { tokens: customer.burst * share, filled_at: now });
        let gained = (now - bucket.filled_at).as_secs_f64() * customer.rate_per_second * share;
        bucket.tokens = (bucket.tokens + gained).min(customer.burst * share);
        bucket.filled_at = now;
        if bucket.tokens < 1.0 {
            return Err(AdmissionRefusal::RateExceeded { retry_after: RETRY_AFTER });
        }
        bucket.tokens -= 1.0;
        Ok(())
    }
}

impl AdmissionGate for LocalGate {
    fn admit(
        &self,
        request: AdmissionRequest,
    ) -> BoxFuture<'_, Result<AdmissionPermit, AdmissionRefusal>> {
        async move { self.decide(&request) }.boxed()
    }
}

impl PermitGuard for SlotGuard {
    fn transferred(&mut self, _bytes: u64) {}

    fn finish(self: Box<Self>, _outcome: DispatchOutcome) {}
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let mut ledger = self.ledger.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(count) = ledger.in_flight.get_mut(&self.target) {
            *count = count.saturating_sub(1);
        }
    }
}
