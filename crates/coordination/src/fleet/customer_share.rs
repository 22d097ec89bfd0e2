//! The part of a customer's limit that one host may give out.

/// Part of a limit that is split evenly, so that a host without demand so far can serve at once; the rest follows demand.
const EVEN_PART: f64 = 0.3;
/// Hosts assumed while no other host was ever heard: a cut-off host must not take a whole limit.
const ASSUMED_HOSTS: f64 = 8.0;

/// The part of a limit, 0 to 1, for a host with `own` demand beside hosts with the demands given. Hosts that see the same
/// demands take parts that add up to 1.
pub fn share_of_limit(own: f64, others: impl Iterator<Item = f64>) -> f64 {
    let (count, demand) =
        others.fold((0.0, 0.0), |(count, demand), other| (count + 1.0, demand + other.max(0.0)));
    if count == 0.0 {
        return 1.0 / ASSUMED_HOSTS;
    }
    let even = 1.0 / (count + 1.0);
    let total = own + demand;
    match total > 0.0 {
        true => EVEN_PART * even + (1.0 - EVEN_PART) * own / total,
        false => even,
    }
}
