//! Split of a customer's rate limit over regions by demand.

/// Share of a limit that is split evenly, so that a region without demand so far can serve at once; the rest follows
/// demand.
const EVEN_SHARE: f64 = 0.3;

/// Returns the share of a limit, 0 to 1, for a region with the demand `own`. `others` has the demand of each other
/// region, or `None` for a region without known hosts, which counts as having the same demand. Regions that see the
/// same demands get shares that add up to 1.
pub fn share_of_limit(own: f64, others: &[Option<f64>]) -> f64 {
    let regions = others.len() as f64 + 1.0;
    let total = own + others.iter().map(|demand| demand.unwrap_or(own).max(0.0)).sum::<f64>();
    match total > 0.0 {
        true => EVEN_SHARE / regions + (1.0 - EVEN_SHARE) * own / total,
        false => 1.0 / regions,
    }
}
