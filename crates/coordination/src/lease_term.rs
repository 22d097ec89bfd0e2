//! Lease terms and the allowance for clock drift between hosts.

use std::time::Duration;
use std::time::Instant;

/// Term of a lease of slots or of a share of a rate.
pub const LEASE_TERM: Duration = Duration::from_secs(2);
/// Longest time within which lent tokens must be spent.
pub const TOKEN_TERM: Duration = Duration::from_millis(90);
/// Time within which tokens lent to a host in the same region must be spent.
pub const REGIONAL_TOKEN_TERM: Duration = Duration::from_millis(25);

/// Clock drift between two hosts that lease terms allow for, in thousandths of the term.
const CLOCK_DRIFT_PER_MILLE: u32 = 5;
const MIN_DRIFT_ALLOWANCE: Duration = Duration::from_millis(5);

/// Time from the grant until a lender uses again what it lent. It is longer than the term, because the holder's clock
/// may run slower than the lender's.
pub fn lender_term(term: Duration) -> Duration {
    term + term * CLOCK_DRIFT_PER_MILLE / 1_000 + MIN_DRIFT_ALLOWANCE
}

/// Time at which a borrower stops using a lease. The term counts from when the request was sent, so that the lease never
/// outlives the term that the lender counts from the grant.
pub fn holder_expiry(sent_at: Instant, term: Duration) -> Instant {
    sent_at + term
}
