//! The part of a customer's limit that one region may give out.

/// Part of a limit that is split evenly, so that a region without demand so far can serve at once; the rest follows demand.
const EVEN_SHARE: f64 = 0.3;

/// The part of a limit, 0 to 1, for a region with `own` demand beside others. `others` tells the demand of each other
/// region, `None` for one that was never heard, which counts as having as much. Regions that see the same demands take parts
/// that add up to 1.
pub fn share_of_limit(own: f64, others: &[Option<f64>]) -> f64 {
    let regions = others.len() as f64 + 1.0;
    let total = own + others.iter().map(|demand| demand.unwrap_or(own).max(0.0)).sum::<f64>();
    match total > 0.0 {
        true => EVEN_SHARE / regions + (1.0 - EVEN_SHARE) * own / total,
        false => 1.0 / regions,
    }
}
