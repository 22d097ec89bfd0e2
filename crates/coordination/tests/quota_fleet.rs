//! Tests of customers' limits over whole fleets in which hosts restart, keepers change and datagrams are late or lost.

mod support {
    pub mod heartbeats;
    pub mod quota_case;
    pub mod quota_datagram;
    pub mod quota_host;
    pub mod quota_model;
}

use coordination::fleet::CustomerLimit;

use support::quota_case::QuotaCase;
use support::quota_case::QuotaOutcome;
use support::quota_case::QuotaTrouble;
use support::quota_case::allowed_requests;
use support::quota_model::QuotaModel;

const LIMIT: CustomerLimit = CustomerLimit { rate: 516.0, burst: 516.0 };
const LOAD: f64 = 6.0;
/// Time from the trouble on in which the model counts all admitted requests.
const ADMISSION_SECONDS: f64 = 8.0;
/// Least share that is served of the requests of a customer below its limit, as long as hosts take requests.
const USUAL_SHARE: f64 = 0.95;
/// Seeds over which what a usual customer gets is averaged.
const SERVED_SEEDS: u64 = 3;

/// Plays a trouble with several seeds; prints and returns the number of seeds that broke the rule.
fn count_broken(hosts: usize, trouble: QuotaTrouble, seeds: u64) -> usize {
    let case = QuotaCase { hosts, limit: LIMIT, load: LOAD, trouble };
    let outcomes: Vec<_> = (0..seeds).map(|seed| QuotaModel::play(case, seed)).collect();
    let allowed = allowed_requests(LIMIT);
    let broken = outcomes.iter().filter(|outcome| outcome.worst as f64 > allowed).count();
    let admitted = outcomes.iter().map(|outcome| outcome.admitted).sum::<usize>() / outcomes.len();
    let Some(QuotaOutcome { worst, worst_from, by_source, new_keepers, .. }) =
        outcomes.iter().max_by_key(|outcome| outcome.worst)
    else {
        return 0;
    };
    println!(
        "{hosts} hosts, {trouble:?}: {broken} of {seeds} seeds above {allowed:.0}, {admitted} admitted from the \
         trouble on; worst window {worst} from step {worst_from} on, held, granted and reserve {by_source:?}, new \
         keepers {new_keepers}"
    );
    broken
}

macro_rules! troubles {
    ($($(#[$attribute:meta])* $name:ident: $trouble:expr, $hosts:literal hosts, $seeds:literal seeds;)*) => {$(
        /// A customer at six times its limit, of which no five seconds may run more than the platform tolerates.
        $(#[$attribute])*
        #[test]
        fn $name() {
            assert_eq!(count_broken($hosts, $trouble, $seeds), 0);
        }
    )*};
}

troubles! {
    hosts_that_start_together_do_not_each_keep_the_tokens: QuotaTrouble::RestartOfAll, 83 hosts, 1 seeds;
    hosts_that_start_together_and_slowly_do_not_each_keep_the_tokens: QuotaTrouble::SlowRestartOfAll, 83 hosts, 1 seeds;
    hosts_that_serve_together_long_after_their_start_do_not_each_keep_the_tokens: QuotaTrouble::RestartOfAllWithoutStore, 83 hosts, 1 seeds;
    hosts_that_start_while_regions_are_cut_off_keep_the_limit: QuotaTrouble::RestartOfAllDuringCut, 83 hosts, 1 seeds;
    regions_cut_off_after_a_surge_do_not_each_count_the_old_demand_of_the_others: QuotaTrouble::CutBetweenRegions, 83 hosts, 1 seeds;
    a_flood_without_trouble_keeps_the_limit: QuotaTrouble::Nothing, 83 hosts, 1 seeds;
    a_restart_of_a_small_fleet_keeps_the_limit: QuotaTrouble::RestartOfAll, 10 hosts, 4 seeds;
    restarts_in_quick_series_keep_the_limit: QuotaTrouble::RestartsInSeries(10), 10 hosts, 2 seeds;
    restarts_in_slow_series_keep_the_limit: QuotaTrouble::RestartsInSeries(100), 10 hosts, 2 seeds;
    keepers_that_are_lost_keep_the_limit: QuotaTrouble::LossOfKeepers, 10 hosts, 2 seeds;
    hosts_cut_off_from_their_keepers_keep_the_limit: QuotaTrouble::CutFromKeepers(0.17), 10 hosts, 2 seeds;
    keepers_that_answer_late_keep_the_limit: QuotaTrouble::SlowKeepers(0.7), 10 hosts, 2 seeds;
    demand_that_moves_between_regions_keeps_the_limit: QuotaTrouble::ShiftingDemand, 10 hosts, 2 seeds;
}

macro_rules! usual_loads {
    ($($name:ident: $trouble:expr, $hosts:literal hosts, taking requests for $taken:literal of the time;)*) => {$(
        /// A customer that sends five eighths of its limit in the trouble and after it. While all hosts restart, none
        /// takes requests for a tenth of that time.
        #[test]
        fn $name() {
            let case = QuotaCase { hosts: $hosts, limit: LIMIT, load: 0.625, trouble: $trouble };
            let seeds = 0..SERVED_SEEDS;
            let admitted: usize = seeds.map(|seed| QuotaModel::play(case, seed).admitted).sum();
            let sent = LIMIT.rate * case.load * ADMISSION_SECONDS * SERVED_SEEDS as f64;
            let share = admitted as f64 / sent;
            println!("{} hosts, {:?}: {share:.3} served", $hosts, case.trouble);
            assert!(share >= $taken * USUAL_SHARE, "{share}");
        }
    )*};
}

usual_loads! {
    a_usual_customer_is_served_as_all_hosts_restart: QuotaTrouble::RestartOfAll, 83 hosts, taking requests for 0.9 of the time;
    a_usual_customer_is_served_as_hosts_restart_in_series: QuotaTrouble::RestartsInSeries(10), 83 hosts, taking requests for 1.0 of the time;
    a_usual_customer_of_a_small_fleet_is_served_as_all_hosts_restart: QuotaTrouble::RestartOfAll, 10 hosts, taking requests for 0.9 of the time;
    a_usual_customer_of_a_small_fleet_is_served_as_hosts_restart_in_series: QuotaTrouble::RestartsInSeries(100), 10 hosts, taking requests for 1.0 of the time;
}

macro_rules! surveys {
    ($($name:ident: $hosts:literal hosts;)*) => {$(
        #[test]
        #[ignore = "takes minutes; for the release build"]
        fn $name() {
            let troubles = [
                QuotaTrouble::Nothing,
                QuotaTrouble::RestartOfAll,
                QuotaTrouble::SlowRestartOfAll,
                QuotaTrouble::RestartsInSeries(10),
                QuotaTrouble::RestartsInSeries(100),
                QuotaTrouble::LossOfKeepers,
                QuotaTrouble::CutBetweenRegions,
                QuotaTrouble::RestartOfAllDuringCut,
                QuotaTrouble::CutFromKeepers(0.17),
                QuotaTrouble::SlowKeepers(0.3),
                QuotaTrouble::SlowKeepers(0.7),
                QuotaTrouble::ShiftingDemand,
            ];
            let broken: usize = troubles.map(|trouble| count_broken($hosts, trouble, 40)).iter().sum();
            assert_eq!(broken, 0);
        }
    )*};
}

surveys! {
    each_trouble_of_ten_hosts_keeps_the_limit: 10 hosts;
    each_trouble_of_a_large_fleet_keeps_the_limit: 83 hosts;
    each_trouble_of_a_very_large_fleet_keeps_the_limit: 195 hosts;
}
