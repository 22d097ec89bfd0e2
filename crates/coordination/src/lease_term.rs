//! Terms of leases, and the allowance for clocks that drift.

use std::time::Duration;
use std::time::Instant;

/// Term of a lease of slots or of a part of a rate.
pub const LEASE_TERM: Duration = Duration::from_secs(2);
/// Longest time within which tokens that were lent outright must be spent.
pub const TOKEN_TERM: Duration = Duration::from_millis(90);
/// Time within which tokens lent to a host of the same region must be spent.
pub const REGIONAL_TOKEN_TERM: Duration = Duration::from_millis(25);

const CLOCK_DRIFT_PER_MILLE: u32 = 5;
const MIN_DRIFT_ALLOWANCE: Duration = Duration::from_millis(5);

/// Time for which a lender does without what it lent, counted from the grant. Longer than the term, so that the
/// holder's clock may run slower than the lender's.
pub fn lender_term(term: Duration) -> Duration {
    term + term * CLOCK_DRIFT_PER_MILLE / 1_000 + MIN_DRIFT_ALLOWANCE
}

/// End of a held lease, counted from the moment that the request was sent.
pub fn holder_expiry(sent_at: Instant, term: Duration) -> Instant {
    sent_at + term
}
