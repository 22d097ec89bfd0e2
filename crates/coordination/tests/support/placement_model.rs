//! Deterministic simulation of hosts that place requests on targets.

use std::time::Duration;
use std::time::Instant;

use coordination::placement::DispatchResult;
use coordination::placement::PlacementCandidate;
use coordination::placement::PlacementTable;
use coordination::placement::TargetGroup;
use coordination::placement::TargetRecord;
use coordination::placement::TargetReport;
use coordination::placement::WarmRamp;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const TICK: Duration = Duration::from_millis(5);
const REPORT_INTERVAL_TICKS: usize = 400;
const TIMEOUT_TICKS: usize = 400;
const SLOTS: u32 = 4;

/// Fault of the first target in a simulation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TargetFault {
    /// All targets work and report the truth.
    None,
    /// The target answers every request with an error at once.
    FastErrors,
    /// The target never answers, so that its requests time out.
    Hangs,
    /// The target reports that it is idle, and takes four times as long as the others.
    LiesIdle,
    /// No reports arrive from any target, and the first target takes four times as long as the others.
    NoReports,
}

/// How hosts select a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ModelPolicy {
    /// The target that `PlacementTable::choose` selects.
    Table,
    /// The target with the lowest load in its latest report, without regard to the host's own observations.
    LeastReported,
}

/// Outcome of a simulation from the callers' point of view.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelResult {
    /// Share of requests that failed, timed out or found no target, 0 to 1.
    pub failed_share: f64,
    /// 99th percentile of the time to a response or failure, in seconds.
    pub p99_seconds: f64,
    /// Share of requests that were sent to the faulty target, 0 to 1.
    pub faulty_share: f64,
}

struct ModelRequest {
    host: usize,
    target: usize,
    start: usize,
    result: DispatchResult,
}

struct ModelTarget {
    name: Box<str>,
    in_flight: u32,
    reported: u32,
}

/// Simulates 10 hosts and 12 targets at 60% utilization for `seconds`.
pub fn run_model(
    policy: ModelPolicy,
    fault: TargetFault,
    seconds: usize,
    seed: u64,
) -> ModelResult {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let origin = Instant::now();
    let mut targets: Vec<_> = (0..12)
        .map(|index| ModelTarget { name: format!("t{index}").into(), in_flight: 0, reported: 0 })
        .collect();
    let mut tables: Vec<_> = (0..10).map(|_| new_table(&targets)).collect();
    let mut own = vec![vec![0_u32; targets.len()]; tables.len()];
    let ticks = seconds * 200;
    let mut ends: Vec<Vec<ModelRequest>> = (0..=ticks + 4_000).map(|_| Vec::new()).collect();
    let (mut latencies, mut failed, mut faulty, mut sent) = (Vec::new(), 0, 0, 0);
    for tick in 0..ticks {
        let now = origin + TICK * tick as u32;
        if tick % REPORT_INTERVAL_TICKS == 0 {
            send_reports(&mut targets, &mut tables, fault, now);
        }
        for request in std::mem::take(&mut ends[tick]) {
            own[request.host][request.target] -= 1;
            targets[request.target].in_flight -= 1;
            let name = &targets[request.target].name;
            tables[request.host].record_result(name, request.result, now);
            latencies.push((tick - request.start) as f64 * TICK.as_secs_f64());
            failed += usize::from(request.result == DispatchResult::Failed);
        }
        for _ in 0..draw_arrivals(&mut rng) {
            sent += 1;
            let host = rng.random_range(0..tables.len());
            let choice = choose(policy, &targets, &mut tables[host], &own[host], &mut rng, now);
            let Some(target) = choice else {
                failed += 1;
                continue;
            };
            faulty += usize::from(target == 0);
            own[host][target] += 1;
            targets[target].in_flight += 1;
            let (ticks, result) = serve(target, targets[target].in_flight, fault);
            ends[tick + ticks].push(ModelRequest { host, target, start: tick, result });
        }
    }
    latencies.sort_by(f64::total_cmp);
    ModelResult {
        failed_share: failed as f64 / sent as f64,
        p99_seconds: latencies[latencies.len() * 99 / 100],
        faulty_share: faulty as f64 / sent as f64,
    }
}

fn choose(
    policy: ModelPolicy,
    targets: &[ModelTarget],
    table: &mut PlacementTable,
    own: &[u32],
    rng: &mut ChaCha8Rng,
    now: Instant,
) -> Option<usize> {
    match policy {
        ModelPolicy::Table => table.choose(&candidates(targets, own), 0.0, rng, now),
        ModelPolicy::LeastReported => least_reported(targets, rng),
    }
}

/// Number of requests in one tick: on average 576 per second, which is 60% of 48 slots at 50 ms per request.
fn draw_arrivals(rng: &mut ChaCha8Rng) -> u32 {
    (0..6).filter(|_| rng.random::<f64>() < 0.48).count() as u32
}

fn new_table(targets: &[ModelTarget]) -> PlacementTable {
    let mut table = PlacementTable::default();
    for target in targets {
        let group = TargetGroup { service: "s".into(), domain: "d".into() };
        let record = TargetRecord::new(WarmRamp::warm(Duration::from_secs(10)));
        table.insert(target.name.clone(), group, record);
    }
    table
}

fn candidates<'a>(targets: &'a [ModelTarget], own: &[u32]) -> Vec<PlacementCandidate<'a>> {
    targets
        .iter()
        .zip(own)
        .map(|(target, in_flight)| PlacementCandidate {
            target: &target.name,
            domain: "d",
            slots: SLOTS,
            in_flight: *in_flight,
            round_trip: Duration::ZERO,
            traffic_weight: 1.0,
            link_utilization: 0.0,
        })
        .collect()
}

fn least_reported(targets: &[ModelTarget], rng: &mut ChaCha8Rng) -> Option<usize> {
    let least = targets.iter().map(|target| target.reported).min()?;
    let best: Vec<usize> =
        (0..targets.len()).filter(|index| targets[*index].reported == least).collect();
    Some(best[rng.random_range(0..best.len())])
}

fn send_reports(
    targets: &mut [ModelTarget],
    tables: &mut [PlacementTable],
    fault: TargetFault,
    now: Instant,
) {
    for (index, target) in targets.iter_mut().enumerate() {
        let reports_idle = index == 0 && fault == TargetFault::LiesIdle;
        if fault == TargetFault::NoReports {
            continue;
        }
        target.reported = if reports_idle { 0 } else { target.in_flight };
        let report = TargetReport {
            requested_at: now,
            is_healthy: true,
            is_draining: false,
            in_flight: target.reported,
            slots: SLOTS,
        };
        tables.iter_mut().for_each(|table| table.apply_report(&target.name, report));
    }
}

fn serve(target: usize, in_flight: u32, fault: TargetFault) -> (usize, DispatchResult) {
    let is_slow = target == 0 && matches!(fault, TargetFault::LiesIdle | TargetFault::NoReports);
    let base_ticks = if is_slow { 40.0 } else { 10.0 };
    let utilization = f64::from(in_flight) / f64::from(SLOTS);
    let ticks = (base_ticks * utilization.max(1.0)) as usize;
    match fault {
        TargetFault::FastErrors if target == 0 => (1, DispatchResult::Failed),
        TargetFault::Hangs if target == 0 => (TIMEOUT_TICKS, DispatchResult::Failed),
        _ if ticks >= TIMEOUT_TICKS => (TIMEOUT_TICKS, DispatchResult::Failed),
        _ => (ticks, DispatchResult::Succeeded { latency: TICK * ticks as u32 }),
    }
}
