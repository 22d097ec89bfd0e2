//! An admission gate that divides every limit evenly by a fixed number of hosts and talks to none of them.

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

/// Retry delay suggested to refused callers.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// An admission gate with a static share of every limit. It never queues and never borrows.
pub struct LocalGate {
    configuration: ConfigurationCell,
    host_count: u32,
    usage: Arc<Mutex<LocalUsage>>,
}

#[derive(Default)]
struct LocalUsage {
    buckets: IndexMap<CustomerId, CustomerBucket>,
    in_flight: IndexMap<TargetId, u32>,
}

struct CustomerBucket {
    tokens: f64,
    filled_at: Instant,
}

struct LocalSlotGuard {
    target: TargetId,
    usage: Arc<Mutex<LocalUsage>>,
}

impl LocalGate {
    /// Creates a gate that admits one part in `host_count` of every limit; 0 counts as 1.
    pub fn new(configuration: ConfigurationCell, host_count: u32) -> Self {
        Self { configuration, host_count: host_count.max(1), usage: Arc::default() }
    }

    fn admit_request(
        &self,
        request: &AdmissionRequest,
    ) -> Result<AdmissionPermit, AdmissionRefusal> {
        let state = self.configuration.load();
        if state.revision == 0 {
            return Err(AdmissionRefusal::NoConfiguration { retry_after: RETRY_AFTER });
        }
        let mut usage = self.usage.lock().unwrap_or_else(PoisonError::into_inner);
        let target = self.choose_target(&state, request, &usage)?;
        self.spend_token(&state, request, &mut usage)?;
        *usage.in_flight.entry(target.name.clone()).or_default() += 1;
        let region = state.region_of(&target.failure_domain).unwrap_or_default();
        info!("target chosen", kv: {
            request_id: = request.request_id, target: = target.name, revision = state.revision
        });
        Ok(AdmissionPermit {
            target: target.name.clone(),
            address: target.address,
            failure_domain: target.failure_domain.clone(),
            region: region.into(),
            queue_wait: Duration::ZERO,
            guard: Box::new(LocalSlotGuard {
                target: target.name.clone(),
                usage: Arc::clone(&self.usage),
            }),
        })
    }

    fn choose_target<'a>(
        &self,
        state: &'a ConfigurationState,
        request: &AdmissionRequest,
        usage: &LocalUsage,
    ) -> Result<&'a TargetSpec, AdmissionRefusal> {
        let in_flight =
            |target: &TargetSpec| usage.in_flight.get(&target.name).copied().unwrap_or(0);
        state
            .targets
            .values()
            .filter(|target| target.service == request.service)
            .filter(|target| !request.excluded.contains(&target.name))
            .filter(|target| state.drain_of(target).is_none())
            .filter(|target| in_flight(target) < (target.slots / self.host_count).max(1))
            .min_by_key(|target| in_flight(target))
            .ok_or(AdmissionRefusal::NoCapacity { retry_after: RETRY_AFTER })
    }

    fn spend_token(
        &self,
        state: &ConfigurationState,
        request: &AdmissionRequest,
        usage: &mut LocalUsage,
    ) -> Result<(), AdmissionRefusal> {
        let Some(customer) = request.customer.as_ref().and_then(|name| state.customers.get(name))
        else {
            return Ok(());
        };
        let now = Instant::now();
        let share = 1.0 / f64::from(self.host_count);
        let bucket = usage
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
        async move { self.admit_request(&request) }.boxed()
    }
}

impl PermitGuard for LocalSlotGuard {
    fn record_transfer(&mut self, _bytes: u64) {}

    fn finish(self: Box<Self>, _outcome: DispatchOutcome) {}
}

impl Drop for LocalSlotGuard {
    fn drop(&mut self) {
        let mut usage = self.usage.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(count) = usage.in_flight.get_mut(&self.target) {
            *count = count.saturating_sub(1);
        }
    }
}
