//! Placement must avoid a target that fails, hangs or sends false reports.

#[path = "support/placement_model.rs"]
mod placement_model;

use placement_model::ModelPolicy;
use placement_model::TargetFault;
use placement_model::run_model;

const SECONDS: usize = 60;

macro_rules! fault_cases {
    ($($name:ident: $fault:expr => failed $failed:expr, p99 $p99:expr, faulty $faulty:expr;)*) => {$(
        #[test]
        fn $name() {
            let result = run_model(ModelPolicy::Table, $fault, SECONDS, 11);
            assert!(result.failed_share <= $failed, "{result:?}");
            assert!(result.p99_seconds <= $p99, "{result:?}");
            assert!(result.faulty_share <= $faulty, "{result:?}");
            let baseline = run_model(ModelPolicy::LeastReported, $fault, SECONDS, 11);
            assert!(result.p99_seconds < baseline.p99_seconds / 2.0, "{result:?} {baseline:?}");
        }
    )*};
}

fault_cases! {
    all_well_is_even: TargetFault::None => failed 0.0, p99 0.1, faulty 0.12;
    fast_errors_attract_nothing: TargetFault::FastErrors => failed 0.01, p99 0.1, faulty 0.01;
    a_hanging_target_is_found: TargetFault::Hangs => failed 0.01, p99 0.1, faulty 0.01;
    a_lying_report_loses: TargetFault::LiesIdle => failed 0.0, p99 0.3, faulty 0.05;
    absent_reports_are_no_loss: TargetFault::NoReports => failed 0.0, p99 0.3, faulty 0.05;
}
