//! Answers peers that borrow tokens or slots from this host.

use std::sync::Arc;
use std::time::Duration;

use coordination::customer_budget::TokenLoan;
use coordination::ids::HostId;
use coordination::lease_term::REGIONAL_TOKEN_TERM;
use coordination::lease_term::TOKEN_TERM;
use futures::FutureExt;
use futures::future::BoxFuture;

use crate::admission::gate_shared::GateShared;
use crate::admission::gate_shared::runtime_now;
use crate::interface::PeerError;
use crate::interface::PeerHandler;
use crate::interface::PeerReply;
use crate::interface::PeerRequest;

/// Answers `BorrowTokens` and `LeaseSlots` requests of peers and refuses all others.
pub struct LoanHandler {
    shared: Arc<GateShared>,
}

impl LoanHandler {
    pub(crate) fn new(shared: Arc<GateShared>) -> Self {
        Self { shared }
    }

    /// Time within which a borrower must spend lent tokens. It is shorter for a borrower in this host's region, which
    /// receives the tokens sooner, so that their capacity returns to this host sooner.
    fn token_term(&self, borrower: &str) -> Duration {
        let members = self.shared.peers.members();
        let member = members.member(borrower);
        match member.is_some_and(|member| member.region == self.shared.own.region) {
            true => REGIONAL_TOKEN_TERM,
            false => TOKEN_TERM,
        }
    }

    fn answer_request(&self, from: HostId, request: PeerRequest) -> Result<PeerReply, PeerError> {
        let now = runtime_now();
        match request {
            PeerRequest::BorrowTokens { customer, micro_tokens, rate_ppm } => {
                let term = self.token_term(&from);
                let mut core = self.shared.lock_core();
                core.check_pause(now);
                let asked = TokenLoan { micro_tokens, rate_ppm, term };
                let lent = core
                    .customers
                    .get_mut(&customer)
                    .map(|account| account.lend_tokens(asked, now));
                let loan = lent.unwrap_or_default();
                Ok(PeerReply::TokensLent {
                    micro_tokens: loan.micro_tokens,
                    rate_ppm: loan.rate_ppm,
                    term: loan.term,
                })
            }
            PeerRequest::LeaseSlots { sequence, wanted } => {
                let leases = self.shared.lock_core().lend_slots(
                    &from,
                    sequence,
                    &wanted,
                    &*self.shared.weights,
                    now,
                );
                let services: Vec<_> = {
                    let core = self.shared.lock_core();
                    core.services.keys().cloned().collect()
                };
                self.shared.dispatch_waiting(services.iter().map(|service| &**service));
                Ok(PeerReply::SlotsLeased { leases })
            }
            _ => {
                let reason = "not a request for a loan".into();
                Err(PeerError::Refused { peer: from, reason })
            }
        }
    }
}

impl PeerHandler for LoanHandler {
    fn handle(
        &self,
        from: HostId,
        request: PeerRequest,
    ) -> BoxFuture<'_, Result<PeerReply, PeerError>> {
        async move { self.answer_request(from, request) }.boxed()
    }
}
