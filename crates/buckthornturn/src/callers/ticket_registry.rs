//! Tickets of this process, and the outcomes of the requests that used them.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use coordination::ids::HostId;
use coordination::ids::Incarnation;
use coordination::outcome_table::BeginResult;
use coordination::outcome_table::KnownOutcome;
use coordination::outcome_table::OutcomeBounds;
use coordination::outcome_table::OutcomeTable;
use coordination::ticket::TicketClaims;
use coordination::ticket::TicketError;
use coordination::ticket::TicketIssuer;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::StatusCode;
use tokio::sync::Notify;

use crate::callers::Refusal;
use crate::callers::StoredAnswer;
use crate::callers::StoredOutcome;
use crate::interface::OutcomeEntry;
use crate::interface::PeerError;
use crate::interface::PeerHandler;
use crate::interface::PeerReply;
use crate::interface::PeerRequest;
use crate::settings::CallerBounds;

const TABLE_FULL_RETRY_AFTER: Duration = Duration::from_secs(5);
/// The table's size is divided by this to get the number of entries that one customer may use.
const CUSTOMER_SHARE_DIVISOR: usize = 4;

/// Issues the tickets of this process, and records the outcomes of the requests that used them.
pub struct TicketRegistry {
    issuer: TicketIssuer,
    table: Mutex<OutcomeTable<StoredAnswer>>,
    outcome_changed: Notify,
}

/// Decision about a request that carries a ticket.
pub enum TicketDecision {
    /// The request has not run and may run now.
    Granted(TicketGuard),
    /// The request has run, here or on a host that handed over its outcomes.
    Known(KnownOutcome<StoredAnswer>),
    /// Another process issued the ticket, and the outcome is not known here.
    IssuedElsewhere(TicketClaims),
}

/// Permission to run the request of a ticket. If it is dropped without `release` or `settle`, the outcome counts as
/// unknown.
pub struct TicketGuard {
    registry: Arc<TicketRegistry>,
    ticket: Box<str>,
    is_settled: bool,
}

impl TicketRegistry {
    /// Creates a registry with a new secret, so that tickets of an earlier process are not accepted as its own.
    pub fn new(host: HostId, incarnation: Incarnation, bounds: &CallerBounds) -> Arc<Self> {
        let lifetime = bounds.ticket_lifetime();
        let issuer =
            TicketIssuer::new(host, incarnation, lifetime, Instant::now(), &mut rand::rng());
        let table = OutcomeTable::new(OutcomeBounds {
            max_entries: bounds.max_outcomes,
            max_entries_per_customer: (bounds.max_outcomes / CUSTOMER_SHARE_DIVISOR).max(1),
            max_bytes: bounds.max_outcome_bytes,
        });
        Arc::new(Self { issuer, table: Mutex::new(table), outcome_changed: Notify::new() })
    }

    /// Issues a ticket for one request of a customer to a service, and returns it with its lifetime.
    pub fn issue_ticket(&self, customer: &str, service: &str) -> (Box<str>, Duration) {
        let now = Instant::now();
        let ticket = self.issuer.issue(customer.into(), service.into(), now, &mut rand::rng());
        (ticket, self.issuer.lifetime())
    }

    /// Decides whether the request of a ticket may run. If it is running already, waits for its outcome until
    /// `deadline`.
    ///
    /// # Errors
    ///
    /// Refuses a ticket that is invalid or expired, a request that is still running at `deadline`, and any new
    /// request while the table of outcomes is full.
    pub async fn begin_request(
        self: &Arc<Self>,
        ticket: &str,
        customer: &str,
        service: &str,
        deadline: Instant,
    ) -> Result<TicketDecision, Refusal> {
        let claims = TicketClaims::parse(ticket).map_err(ticket_refusal)?;
        let is_foreign = &*claims.customer != customer || &*claims.service != service;
        if is_foreign {
            return Err(ticket_refusal(TicketError::Foreign));
        }
        if !self.issuer.is_issuer(&claims) {
            return Ok(match self.lock().outcome(ticket) {
                Some(outcome) => TicketDecision::Known(outcome),
                None => TicketDecision::IssuedElsewhere(claims),
            });
        }
        let now = Instant::now();
        let expires_at =
            now + self.issuer.verify(ticket, customer, service, now).map_err(ticket_refusal)?;
        loop {
            let changed = self.outcome_changed.notified();
            let mut changed = std::pin::pin!(changed);
            changed.as_mut().enable();
            let now = Instant::now();
            if now >= expires_at {
                return Err(ticket_refusal(TicketError::Expired));
            }
            let result = self.lock().begin(ticket, customer, expires_at, now);
            match result {
                BeginResult::First => return Ok(TicketDecision::Granted(self.guard(ticket))),
                BeginResult::Known(outcome) => return Ok(TicketDecision::Known(outcome)),
                BeginResult::Full => {
                    let status = StatusCode::SERVICE_UNAVAILABLE;
                    return Err(Refusal::not_run(status, "outcomes-full")
                        .retry_after(TABLE_FULL_RETRY_AFTER));
                }
                BeginResult::Running => {
                    if tokio::time::timeout_at(deadline.into(), changed).await.is_err() {
                        return Err(Refusal::unknown(StatusCode::CONFLICT, "ticket-running"));
                    }
                }
            }
        }
    }

    fn guard(self: &Arc<Self>, ticket: &str) -> TicketGuard {
        TicketGuard { registry: Arc::clone(self), ticket: ticket.into(), is_settled: false }
    }

    /// Returns the outcomes that have not expired, to be handed over to a peer; a running request counts as unknown.
    pub fn export_outcomes(&self) -> Vec<OutcomeEntry> {
        let outcomes = self.lock().unexpired_outcomes(Instant::now());
        let encode = |(ticket, outcome, expires_in)| {
            let encoded = serde_json::to_vec(&StoredOutcome::from(outcome)).ok()?;
            Some(OutcomeEntry { ticket, encoded: Bytes::from(encoded), expires_in })
        };
        outcomes.into_iter().filter_map(encode).collect()
    }

    /// Takes over the outcomes of a process that shuts down. An outcome that cannot be decoded counts as unknown.
    pub fn import_outcomes(&self, outcomes: Vec<OutcomeEntry>) {
        let now = Instant::now();
        let mut table = self.lock();
        for entry in outcomes {
            let Ok(claims) = TicketClaims::parse(&entry.ticket) else { continue };
            let outcome = serde_json::from_slice::<StoredOutcome>(&entry.encoded)
                .map_or(KnownOutcome::Unknown, KnownOutcome::from);
            let expires_at = now + entry.expires_in.min(MAX_IMPORTED_LIFETIME);
            table.adopt(&entry.ticket, &claims.customer, expires_at, outcome, now);
        }
    }

    fn lock(&self) -> MutexGuard<'_, OutcomeTable<StoredAnswer>> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Longest time for which an outcome taken over from a peer is kept.
const MAX_IMPORTED_LIFETIME: Duration = Duration::from_secs(3_600);

impl TicketGuard {
    /// Forgets the request, of which no byte was sent, so that the ticket can be used again.
    pub fn release(mut self) {
        self.is_settled = true;
        self.registry.lock().release(&self.ticket);
    }

    /// Records the outcome of the request, and wakes requests that wait for it.
    pub fn settle(mut self, outcome: KnownOutcome<StoredAnswer>) {
        self.is_settled = true;
        self.registry.lock().finish(&self.ticket, outcome);
    }
}

impl Drop for TicketGuard {
    fn drop(&mut self) {
        if !self.is_settled {
            self.registry.lock().finish(&self.ticket, KnownOutcome::Unknown);
        }
        self.registry.outcome_changed.notify_waiters();
    }
}

impl PeerHandler for TicketRegistry {
    fn handle(
        &self,
        _from: HostId,
        request: PeerRequest,
    ) -> BoxFuture<'_, Result<PeerReply, PeerError>> {
        if let PeerRequest::KeepOutcomes { outcomes } = request {
            self.import_outcomes(outcomes);
        }
        async { Ok(PeerReply::Done) }.boxed()
    }
}

fn ticket_refusal(error: TicketError) -> Refusal {
    match error {
        TicketError::Malformed => Refusal::not_run(StatusCode::BAD_REQUEST, "ticket-malformed"),
        TicketError::Forged => Refusal::not_run(StatusCode::FORBIDDEN, "ticket-forged"),
        TicketError::Foreign => Refusal::not_run(StatusCode::FORBIDDEN, "ticket-foreign"),
        TicketError::Expired => Refusal::unknown(StatusCode::CONFLICT, "ticket-expired"),
    }
}
