//! Deterministic simulations of spill between failure domains and regions with measurements that lag.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use coordination::placement::SpillControl;
use coordination::placement::SpillLimit;
use coordination::placement::SpillSample;

const TICK: Duration = Duration::from_millis(100);
const LAG_TICKS: usize = 20;

/// How the spill share follows the measurement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SpillPolicy {
    /// The share is set by `SpillControl`.
    Damped,
    /// The share is corrected by the whole measured difference at once.
    Undamped,
}

/// Oscillation of the spill share in the second half of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SwingResult {
    /// Difference between the largest and the smallest share.
    pub swing: f64,
    /// Number of changes of direction, from growing to shrinking or back.
    pub turns: usize,
    /// Peak load of the domain that takes the spill, over the whole run; 1 is full.
    pub peak: f64,
}

/// Simulates a domain at 120% load next to one at 20% for 4 minutes. The measurement lags by 2 s.
pub fn run_oscillation(policy: SpillPolicy) -> SwingResult {
    let origin = Instant::now();
    let mut control = SpillControl::default();
    let mut share = 0.0_f64;
    let mut measured: VecDeque<(f64, f64)> = vec![(1.2, 0.2); LAG_TICKS].into();
    let mut shares = Vec::new();
    let mut peak = 0.0_f64;
    for tick in 0..2_400 {
        let now = origin + TICK * tick;
        let (own_load, other_load) = measured.pop_front().unwrap_or_default();
        let lag = TICK * LAG_TICKS as u32;
        control.update(SpillSample { own_load, other_load, lag }, now);
        share = match policy {
            SpillPolicy::Damped => control.share(),
            SpillPolicy::Undamped => (share + (own_load - other_load) / 2.4).clamp(0.0, 0.9),
        };
        measured.push_back((1.2 * (1.0 - share), 0.2 + 1.2 * share));
        peak = peak.max(0.2 + 1.2 * share);
        shares.push(share);
    }
    let settled_shares = &shares[1_200..];
    let steps: Vec<f64> = settled_shares
        .windows(2)
        .map(|pair| pair[1] - pair[0])
        .filter(|step| step.abs() > 1e-9)
        .collect();
    SwingResult {
        swing: settled_shares.iter().fold(0.0, |a, b| f64::max(a, *b))
            - settled_shares.iter().fold(1.0, |a, b| f64::min(a, *b)),
        turns: steps.windows(2).filter(|pair| pair[0] * pair[1] < 0.0).count(),
        peak,
    }
}

/// How hosts spill after a region has lost all of its targets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RegionLossPolicy {
    /// Each host stays within the allowance of `SpillLimit`.
    Limited,
    /// Each host sends all requests to the region with the lowest measured load.
    LeastMeasured,
}

/// Effect of a region loss on the remaining regions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LossResult {
    /// Peak utilization of any remaining region, as a share of its slots.
    pub peak: f64,
    /// Share of the lost region's requests that ran in the last quarter of the run, 0 to 1.
    pub served: f64,
}

/// Simulates three regions of 240 slots at 60% load for 60 s. One region loses all of its targets, and its 4 hosts spill
/// to the other two.
pub fn run_region_loss(policy: RegionLossPolicy) -> LossResult {
    const SLOTS: u32 = 240;
    const BASE: u32 = 144;
    const HOSTS: usize = 4;
    let wanted = BASE / HOSTS as u32;
    let limit = SpillLimit { slots: SLOTS, max_utilization_percent: 90.0, hosts: HOSTS as u32 };
    let idle = ([[0_u32; 2]; HOSTS], [BASE; 2]);
    let mut measured = VecDeque::from(vec![idle; LAG_TICKS]);
    let (mut peak, mut served, mut wanted_total) = (0, 0, 0);
    for tick in 0..600 {
        let (measured_own, measured_busy) = measured.pop_front().unwrap_or(idle);
        let mut own = [[0_u32; 2]; HOSTS];
        for (spilled, measured_spill) in own.iter_mut().zip(measured_own) {
            let preferred = usize::from(measured_busy[1] < measured_busy[0]);
            match policy {
                RegionLossPolicy::LeastMeasured => spilled[preferred] = wanted,
                RegionLossPolicy::Limited => {
                    let room = [0, 1].map(|index| {
                        limit.host_allowance(measured_busy[index], measured_spill[index])
                    });
                    spilled[preferred] = wanted.div_ceil(2).min(room[preferred]);
                    spilled[1 - preferred] = (wanted - spilled[preferred]).min(room[1 - preferred]);
                }
            }
        }
        let busy = [0, 1].map(|at| BASE + own.iter().map(|spilled| spilled[at]).sum::<u32>());
        peak = peak.max(busy[0].max(busy[1]));
        if tick >= 450 {
            served += busy[0] + busy[1] - 2 * BASE;
            wanted_total += BASE;
        }
        measured.push_back((own, busy));
    }
    LossResult {
        peak: f64::from(peak) / f64::from(SLOTS),
        served: f64::from(served) / f64::from(wanted_total),
    }
}
