//! Cases of the quota model, and what it finds.

use coordination::fleet::CustomerLimit;

/// What happens to the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaTrouble {
    /// Nothing.
    Nothing,
    /// All hosts restart at once.
    RestartOfAll,
    /// All hosts restart at once and read their state only five seconds later, when the store is back.
    RestartOfAllWithoutStore,
    /// All hosts restart at once and are short of processor time for a while, so that answers are late.
    SlowRestartOfAll,
    /// One host after the other restarts, with this many steps between.
    RestartsInSeries(usize),
    /// The keepers of all regions end for good, and those that follow them 3 s later.
    LossOfKeepers,
    /// Regions hear nothing of each other.
    CutBetweenRegions,
    /// All hosts restart at once while regions hear nothing of each other.
    RestartOfAllDuringCut,
    /// This share of each region's hosts gets no answer from its keeper.
    CutFromKeepers(f64),
    /// This share of the keepers' answers come after the timeout.
    SlowKeepers(f64),
    /// Demand moves from one region to the next every two seconds.
    ShiftingDemand,
}

/// Size and load of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct QuotaCase {
    /// Number of hosts.
    pub hosts: usize,
    /// Limit of the customer.
    pub limit: CustomerLimit,
    /// Requests that the customer sends as a multiple of its rate.
    pub load: f64,
    /// What happens.
    pub trouble: QuotaTrouble,
}

/// Where the token of a request came from.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum TokenSource {
    /// The host held it or keeps the customer's tokens.
    Held,
    /// The keeper granted it.
    Granted,
    /// No keeper answered.
    Reserve,
}

/// What the fleet admitted.
#[derive(Clone, Debug, Default)]
pub struct QuotaOutcome {
    /// Requests in the window with the most of them.
    pub worst: usize,
    /// First step of that window.
    pub worst_from: usize,
    /// Requests of that window by the source of their token: held, granted, reserve.
    pub by_source: [usize; 3],
    /// Hosts that became the keeper in the second before that window or in it.
    pub new_keepers: usize,
    /// Requests admitted from the start of the trouble to the end.
    pub admitted: usize,
}

/// Returns the number of requests that the rule allows in a window.
pub fn allowed_requests(limit: CustomerLimit) -> f64 {
    (limit.rate * 5.0 + limit.burst) * 1.1 + 20.0
}
