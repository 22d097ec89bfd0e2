use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use coordination::floor_plan::FloorPlan;

use crate::configuration::ConfigurationCell;
use crate::interface::FreshnessCell;
use crate::interface::PlanCell;
use crate::membership::HostIdentity;
use crate::membership::HostStatus;
use crate::store::StoreGuard;

const CALLS_PER_SECOND: f64 = 10.0;

fn status(plans: PlanCell) -> HostStatus {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let identity = HostIdentity {
        host: "ana".into(),
        incarnation: 5,
        failure_domain: "a".into(),
        region: "north".into(),
        caller_address: address,
        mesh_address: address,
    };
    let guard = Arc::new(StoreGuard::new(CALLS_PER_SECOND));
    HostStatus::new(identity, ConfigurationCell::default(), FreshnessCell::default(), plans, guard)
}

#[test]
fn heartbeat_reports_the_epoch_up_to_which_floors_were_released() {
    let plans = PlanCell::default();
    let status = status(plans.clone());
    plans.insert_if_newer(FloorPlan::first("a".into(), [("ana".into(), 5)].into()));
    plans.report_shrunk_epoch(3);
    let now = Instant::now();
    assert_eq!((status.heartbeat(now).plan_shrunk, status.member_entry(now).plan_shrunk), (3, 3));
}
