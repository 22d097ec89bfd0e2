//! Borrows tokens from other hosts in rounds.

use std::sync::Arc;
use std::time::Duration;

use coordination::customer_budget::TokenLoan;
use coordination::floor_share::FloorKind;
use coordination::floor_share::floor_holder;
use coordination::ids::HostId;
use coordination::lease_term::REGIONAL_TOKEN_TERM;
use coordination::lease_term::TOKEN_TERM;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use indexmap::IndexSet;
use spdlog::debug;

use crate::admission::customer_account::RoundOutcome;
use crate::admission::gate_shared::GateShared;
use crate::admission::gate_shared::runtime_now;
use crate::interface::MemberHealth;
use crate::interface::PeerReply;
use crate::interface::PeerRequest;

/// Timeout of a call to a holder in this region; later its tokens could not be spent any more.
const NEAR_TIMEOUT: Duration = REGIONAL_TOKEN_TERM;
/// Timeout of a call to a holder in another region; later its tokens could not be spent any more.
const FAR_TIMEOUT: Duration = TOKEN_TERM;
/// Holders that one round asks at most in this region, and again in the others.
const MAX_HOLDERS: usize = 12;

/// Hosts that hold floors of a customer and may lend tokens.
struct TokenHolders {
    /// Holders in this host's region, those in its own failure domain first.
    near: Vec<HostId>,
    /// Holders in other regions, from a random start.
    far: Vec<HostId>,
}

/// Runs borrowing rounds for a customer until no request waits. Returns at once if a round is already running.
pub(crate) async fn run_borrow_rounds(shared: Arc<GateShared>, customer: Box<str>) {
    loop {
        let started = {
            let mut core = shared.lock_core();
            core.customers.get_mut(&customer).and_then(|account| account.start_round(runtime_now()))
        };
        let Some(pause) = started else { return };
        tokio::time::sleep(pause).await;
        run_borrow_round(&shared, &customer).await;
        let outcome = {
            let mut core = shared.lock_core();
            core.customers.get_mut(&customer).map(|account| account.finish_round(runtime_now()))
        };
        match outcome {
            Some(RoundOutcome::Repeat(pause)) => tokio::time::sleep(pause).await,
            Some(RoundOutcome::Finished) | None => return,
        }
    }
}

/// Asks the holders of this region one after the other, then those of other regions, as many at once as requests wait.
async fn run_borrow_round(shared: &GateShared, customer: &str) {
    let holders = find_holders(shared, customer);
    if let Some(account) = shared.lock_core().customers.get_mut(customer) {
        account.enroll_waiters();
    }
    for holder in holders.near {
        if !borrow_from(shared, customer, &[holder], NEAR_TIMEOUT).await {
            return;
        }
    }
    let mut far = &*holders.far;
    while !far.is_empty() {
        let (batch, rest) = far.split_at(waiter_count(shared, customer).clamp(1, far.len()));
        if !borrow_from(shared, customer, batch, FAR_TIMEOUT).await {
            return;
        }
        far = rest;
    }
}

/// Asks some holders at once. Returns `false`, without a call, if no tokens are missing.
async fn borrow_from(
    shared: &GateShared,
    customer: &str,
    peers: &[HostId],
    timeout: Duration,
) -> bool {
    let sent_at = runtime_now();
    let asked = {
        let mut core = shared.lock_core();
        core.customers.get_mut(customer).and_then(|account| account.plan_step(peers.len(), sent_at))
    };
    let Some(asked) = asked else { return false };
    let mut calls: FuturesUnordered<_> =
        peers.iter().map(|peer| borrow_tokens(shared, customer, peer, asked, timeout)).collect();
    let mut lent = 0u64;
    while let Some(loan) = calls.next().await {
        lent = lent.saturating_add(loan.micro_tokens);
        if let Some(account) = shared.lock_core().customers.get_mut(customer) {
            account.receive_loan(loan, sent_at, runtime_now());
        }
    }
    let took_us = runtime_now().saturating_duration_since(sent_at).as_micros() as u64;
    debug!("tokens borrowed", kv: {
        customer:, holders = peers.len(), asked = asked.micro_tokens, lent, took_us
    });
    true
}

/// Asks one holder for a loan. A holder that fails, refuses or does not answer in time lends nothing.
async fn borrow_tokens(
    shared: &GateShared,
    customer: &str,
    peer: &str,
    asked: TokenLoan,
    timeout: Duration,
) -> TokenLoan {
    let request = PeerRequest::BorrowTokens {
        customer: customer.into(),
        micro_tokens: asked.micro_tokens,
        rate_ppm: asked.rate_ppm,
    };
    match shared.peers.call(peer, request, timeout).await {
        Ok(PeerReply::TokensLent { micro_tokens, rate_ppm, term }) => TokenLoan {
            micro_tokens: micro_tokens.min(asked.micro_tokens),
            rate_ppm: rate_ppm.min(asked.rate_ppm),
            term,
        },
        _ => TokenLoan::default(),
    }
}

fn waiter_count(shared: &GateShared, customer: &str) -> usize {
    shared.lock_core().customers.get(customer).map_or(0, |account| account.waiter_count())
}

/// Finds the holders of a customer's floors by the plans known here, except suspect and gone hosts.
fn find_holders(shared: &GateShared, customer: &str) -> TokenHolders {
    let members = shared.peers.members();
    let plans = shared.plans.load();
    let holders: IndexSet<&HostId> = plans
        .values()
        .filter_map(|plan| floor_holder(plan, FloorKind::Tokens, customer))
        .filter(|host| **host != shared.own.host)
        .collect();
    let mut found = TokenHolders { near: Vec::new(), far: Vec::new() };
    for member in holders.into_iter().filter_map(|host| members.member(host)) {
        match member.health {
            MemberHealth::Suspect | MemberHealth::Gone => {}
            _ if member.failure_domain == shared.own.failure_domain => {
                found.near.insert(0, member.host.clone());
            }
            _ if member.region == shared.own.region => found.near.push(member.host.clone()),
            _ => found.far.push(member.host.clone()),
        }
    }
    if !found.far.is_empty() {
        let first = rand::random_range(0..found.far.len());
        found.far.rotate_left(first);
    }
    found.near.truncate(MAX_HOLDERS);
    found.far.truncate(MAX_HOLDERS);
    found
}
