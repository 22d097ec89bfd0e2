//! Reads floor plans from the store and accepts those of later epochs.

use coordination::floor_plan::FloorPlan;
use spdlog::info;
use spdlog::warn;

use crate::interface::ObjectStore;
use crate::interface::PlanCell;
use crate::interface::StoreError;
use crate::interface::WatchBatch;

/// Prefix of the floor plans' keys in the store; the failure domain follows.
pub const PLAN_PREFIX: &str = "plan/";
/// Largest number of floor plans that a host holds, one for each failure domain.
const MAX_PLANS: usize = 1_024;
/// Objects in one page of a list of the store.
const LIST_PAGE_OBJECTS: usize = 100;

/// Accepts a floor plan if its epoch is later than that of the known one; returns whether it was. A plan of a further
/// failure domain is dropped once `MAX_PLANS` are known.
pub(crate) fn accept_plan(plans: &PlanCell, plan: FloorPlan, source: &str) -> bool {
    let table = plans.load();
    if table.len() >= MAX_PLANS && !table.contains_key(&plan.domain) {
        return false;
    }
    let (domain, epoch) = (plan.domain.clone(), plan.epoch);
    let is_newer = plans.insert_if_newer(plan);
    if is_newer {
        info!("floor plan known", kv: { domain:, epoch, source: });
    }
    is_newer
}

/// Reads all floor plans from the store. Returns the store's version from which a watch misses no later change.
pub(crate) async fn read_plans(
    store: &dyn ObjectStore,
    plans: &PlanCell,
) -> Result<u64, StoreError> {
    let mut after: Box<str> = "".into();
    let mut first_version = None;
    loop {
        let batch = store.list(PLAN_PREFIX, &after, LIST_PAGE_OBJECTS).await?;
        let version = *first_version.get_or_insert(batch.version);
        let count = batch.objects.len();
        after = batch.objects.last().map(|object| object.key.clone()).unwrap_or_default();
        accept_plans(plans, batch);
        if count < LIST_PAGE_OBJECTS {
            return Ok(version);
        }
    }
}

/// Accepts the floor plans of a batch; unreadable and misplaced ones are logged and skipped.
pub(crate) fn accept_plans(plans: &PlanCell, batch: WatchBatch) {
    for object in batch.objects {
        let Some(value) = object.value else { continue };
        match serde_json::from_slice::<FloorPlan>(&value) {
            Ok(plan) if object.key.strip_prefix(PLAN_PREFIX) == Some(&*plan.domain) => {
                accept_plan(plans, plan, "store");
            }
            Ok(plan) => {
                warn!("floor plan stored under the key of another failure domain", kv: {
                    key: = object.key, domain: = plan.domain
                });
            }
            Err(error) => {
                warn!("floor plan unreadable", kv: { key: = object.key, reason: = error });
            }
        }
    }
}
