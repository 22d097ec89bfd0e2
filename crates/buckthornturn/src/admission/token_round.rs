//! Borrows tokens from other hosts.

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

use crate::admission::customer_account::RoundEnd;
use crate::admission::gate_shared::GateShared;
use crate::admission::gate_shared::clock;
use crate::interface::MemberHealth;
use crate::interface::PeerReply;
use crate::interface::PeerRequest;

const NEAR_WAIT: Duration = REGIONAL_TOKEN_TERM;
const FAR_WAIT: Duration = TOKEN_TERM;
const MAX_HOLDERS: usize = 12;

/// Holders of a customer's floors that may lend.
struct TokenHolders {
    /// Those of the region, the nearest first.
    near: Vec<HostId>,
    /// Those of other regions.
    far: Vec<HostId>,
}

/// Runs rounds of borrowing for a customer until nobody waits, unless one runs already.
pub(crate) async fn run_rounds(shared: Arc<GateShared>, customer: Box<str>) {
    loop {
        let started = {
            let mut core = shared.lock();
            core.customers.get_mut(&customer).and_then(|account| account.start_round(clock()))
        };
        let Some(pause) = started else { return };
        tokio::time::sleep(pause).await;
        run_round(&shared, &customer).await;
        let end = {
            let mut core = shared.lock();
            core.customers.get_mut(&customer).map(|account| account.finish_round(clock()))
        };
        match end {
            Some(RoundEnd::Again(pause)) => tokio::time::sleep(pause).await,
            Some(RoundEnd::Over) | None => return,
        }
    }
}

/// Asks the holders of the region one after the other, then the others, as many at once as tokens are missing.
async fn run_round(shared: &GateShared, customer: &str) {
    let holders = find_holders(shared, customer);
    if let Some(account) = shared.lock().customers.get_mut(customer) {
        account.open_round();
    }
    for holder in holders.near {
        if !step(shared, customer, &[holder], NEAR_WAIT).await {
            return;
        }
    }
    let mut far = &*holders.far;
    while !far.is_empty() {
        let (asked, rest) = far.split_at(waiting(shared, customer).clamp(1, far.len()));
        if !step(shared, customer, asked, FAR_WAIT).await {
            return;
        }
        far = rest;
    }
}

/// Asks some holders at once; returns whether anything was missing before.
async fn step(shared: &GateShared, customer: &str, peers: &[HostId], wait: Duration) -> bool {
    let sent_at = clock();
    let asked = {
        let mut core = shared.lock();
        core.customers.get_mut(customer).and_then(|account| account.step(peers.len(), sent_at))
    };
    let Some(asked) = asked else { return false };
    let mut calls: FuturesUnordered<_> =
        peers.iter().map(|peer| borrow(shared, customer, peer, asked, wait)).collect();
    let mut lent = 0u64;
    while let Some(loan) = calls.next().await {
        lent = lent.saturating_add(loan.micro_tokens);
        if let Some(account) = shared.lock().customers.get_mut(customer) {
            account.receive(loan, sent_at, clock());
        }
    }
    let took_us = clock().saturating_duration_since(sent_at).as_micros() as u64;
    debug!("tokens borrowed", kv: {
        customer:, holders = peers.len(), asked = asked.micro_tokens, lent, took_us
    });
    true
}

async fn borrow(
    shared: &GateShared,
    customer: &str,
    peer: &str,
    asked: TokenLoan,
    wait: Duration,
) -> TokenLoan {
    let request = PeerRequest::BorrowTokens {
        customer: customer.into(),
        micro_tokens: asked.micro_tokens,
        rate_ppm: asked.rate_ppm,
    };
    match shared.peers.call(peer, request, wait).await {
        Ok(PeerReply::TokensLent { micro_tokens, rate_ppm, term }) => TokenLoan {
            micro_tokens: micro_tokens.min(asked.micro_tokens),
            rate_ppm: rate_ppm.min(asked.rate_ppm),
            term,
        },
        _ => TokenLoan::default(),
    }
}

fn waiting(shared: &GateShared, customer: &str) -> usize {
    shared.lock().customers.get(customer).map_or(0, |account| account.waiting())
}

/// Holders by the plans known here, without those that are not heard.
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
