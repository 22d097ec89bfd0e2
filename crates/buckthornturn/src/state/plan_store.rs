//! Floor plans in the store.

use coordination::floor_plan::FloorPlan;
use spdlog::info;
use spdlog::warn;

use crate::interface::ObjectStore;
use crate::interface::PlanCell;
use crate::interface::StoreError;
use crate::interface::WatchBatch;

/// Prefix of the floor plans' keys in the store; the failure domain follows.
pub const PLAN_PREFIX: &str = "plan/";
/// Most plans that are known at once.
const MAX_PLANS: usize = 1_024;
const LIST_LIMIT: usize = 100;

/// Takes a plan if it is later than the one known; returns whether it was.
pub(crate) fn take_plan(plans: &PlanCell, plan: FloorPlan, source: &str) -> bool {
    let table = plans.load();
    if table.len() >= MAX_PLANS && !table.contains_key(&plan.domain) {
        return false;
    }
    let (domain, epoch) = (plan.domain.clone(), plan.epoch);
    let taken = plans.insert_if_newer(plan);
    if taken {
        info!("floor plan known", kv: { domain:, epoch, source: });
    }
    taken
}

/// Reads all plans from the store. Returns the store's version to watch from.
pub(crate) async fn read_plans(
    store: &dyn ObjectStore,
    plans: &PlanCell,
) -> Result<u64, StoreError> {
    let mut after: Box<str> = "".into();
    let mut first_version = None;
    loop {
        let batch = store.list(PLAN_PREFIX, &after, LIST_LIMIT).await?;
        let version = *first_version.get_or_insert(batch.version);
        let count = batch.objects.len();
        after = batch.objects.last().map(|object| object.key.clone()).unwrap_or_default();
        take_batch(plans, batch);
        if count < LIST_LIMIT {
            return Ok(version);
        }
    }
}

/// Takes the plans of a batch.
pub(crate) fn take_batch(plans: &PlanCell, batch: WatchBatch) {
    for object in batch.objects {
        let Some(value) = object.value else { continue };
        match serde_json::from_slice::<FloorPlan>(&value) {
            Ok(plan) if object.key.strip_prefix(PLAN_PREFIX) == Some(&*plan.domain) => {
                take_plan(plans, plan, "store");
            }
            Ok(plan) => {
                warn!("floor plan out of place", kv: { key: = object.key, domain: = plan.domain });
            }
            Err(error) => {
                warn!("floor plan unreadable", kv: { key: = object.key, reason: = error });
            }
        }
    }
}
