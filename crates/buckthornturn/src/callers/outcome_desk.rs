//! Tickets of this process and the outcomes of requests that used them.

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

const FULL_PAUSE: Duration = Duration::from_secs(5);
/// A customer may fill one part in this many of the table.
const CUSTOMER_PARTS: usize = 4;

/// Tickets of this process and the outcomes of requests that used them.
pub struct OutcomeDesk {
    issuer: TicketIssuer,
    table: Mutex<OutcomeTable<StoredAnswer>>,
    changed: Notify,
}

/// What may be done with a request that shows a ticket.
pub enum TicketUse {
    /// It has not run and may run now.
    Run(TicketHold),
    /// It has run.
    Known(KnownOutcome<StoredAnswer>),
    /// Another process issued the ticket.
    Elsewhere(TicketClaims),
}

/// Leave to run a ticket's request. Dropped without a word, its outcome counts as unknown.
pub struct TicketHold {
    desk: Arc<OutcomeDesk>,
    ticket: Box<str>,
    is_settled: bool,
}

impl OutcomeDesk {
    /// A desk with a secret of its own.
    pub fn new(host: HostId, incarnation: Incarnation, bounds: &CallerBounds) -> Arc<Self> {
        let life = bounds.ticket_life();
        let issuer = TicketIssuer::new(host, incarnation, life, Instant::now(), &mut rand::rng());
        let table = OutcomeTable::new(OutcomeBounds {
            max_entries: bounds.max_outcomes,
            max_entries_per_customer: (bounds.max_outcomes / CUSTOMER_PARTS).max(1),
            max_bytes: bounds.max_outcome_bytes,
        });
        Arc::new(Self { issuer, table: Mutex::new(table), changed: Notify::new() })
    }

    /// Issues a ticket. Returns it with its life.
    pub fn issue(&self, customer: &str, service: &str) -> (Box<str>, Duration) {
        let now = Instant::now();
        let ticket = self.issuer.issue(customer.into(), service.into(), now, &mut rand::rng());
        (ticket, self.issuer.lifetime())
    }

    /// Asks to run the request of a ticket; waits for the outcome until `deadline` if it runs already.
    ///
    /// # Errors
    ///
    /// Says why the ticket may not be used here.
    pub async fn present(
        self: &Arc<Self>,
        ticket: &str,
        customer: &str,
        service: &str,
        deadline: Instant,
    ) -> Result<TicketUse, Refusal> {
        let claims = TicketClaims::parse(ticket).map_err(ticket_refusal)?;
        let is_foreign = &*claims.customer != customer || &*claims.service != service;
        if is_foreign {
            return Err(ticket_refusal(TicketError::Foreign));
        }
        if !self.issuer.is_issuer(&claims) {
            return Ok(match self.lock().outcome(ticket) {
                Some(outcome) => TicketUse::Known(outcome),
                None => TicketUse::Elsewhere(claims),
            });
        }
        let now = Instant::now();
        let expires =
            now + self.issuer.verify(ticket, customer, service, now).map_err(ticket_refusal)?;
        loop {
            let changed = self.changed.notified();
            let mut changed = std::pin::pin!(changed);
            changed.as_mut().enable();
            let now = Instant::now();
            if now >= expires {
                return Err(ticket_refusal(TicketError::Expired));
            }
            let begin = self.lock().begin(ticket, customer, expires, now);
            match begin {
                BeginResult::First => return Ok(TicketUse::Run(self.hold(ticket))),
                BeginResult::Known(outcome) => return Ok(TicketUse::Known(outcome)),
                BeginResult::Full => {
                    let status = StatusCode::SERVICE_UNAVAILABLE;
                    return Err(Refusal::not_run(status, "outcomes-full").retry_after(FULL_PAUSE));
                }
                BeginResult::Running => {
                    if tokio::time::timeout_at(deadline.into(), changed).await.is_err() {
                        return Err(Refusal::unknown(StatusCode::CONFLICT, "ticket-running"));
                    }
                }
            }
        }
    }

    fn hold(self: &Arc<Self>, ticket: &str) -> TicketHold {
        TicketHold { desk: Arc::clone(self), ticket: ticket.into(), is_settled: false }
    }

    /// Outcomes to hand to a peer.
    pub fn hand_over(&self) -> Vec<OutcomeEntry> {
        let outcomes = self.lock().unexpired_outcomes(Instant::now());
        let encode = |(ticket, outcome, expires_in)| {
            let encoded = serde_json::to_vec(&StoredOutcome::from(outcome)).ok()?;
            Some(OutcomeEntry { ticket, encoded: Bytes::from(encoded), expires_in })
        };
        outcomes.into_iter().filter_map(encode).collect()
    }

    /// Takes outcomes of a process that leaves. One that is not understood counts as unknown.
    pub fn adopt(&self, outcomes: Vec<OutcomeEntry>) {
        let now = Instant::now();
        let mut table = self.lock();
        for entry in outcomes {
            let Ok(claims) = TicketClaims::parse(&entry.ticket) else { continue };
            let outcome = serde_json::from_slice::<StoredOutcome>(&entry.encoded)
                .map_or(KnownOutcome::Unknown, KnownOutcome::from);
            let expires = now + entry.expires_in.min(MAX_ADOPTED_LIFE);
            table.adopt(&entry.ticket, &claims.customer, expires, outcome, now);
        }
    }

    fn lock(&self) -> MutexGuard<'_, OutcomeTable<StoredAnswer>> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Longest life of an outcome taken from a peer.
const MAX_ADOPTED_LIFE: Duration = Duration::from_secs(3_600);

impl TicketHold {
    /// No byte left; the ticket may be used again.
    pub fn release(mut self) {
        self.is_settled = true;
        self.desk.lock().release(&self.ticket);
    }

    /// Remembers how the request ended.
    pub fn settle(mut self, outcome: KnownOutcome<StoredAnswer>) {
        self.is_settled = true;
        self.desk.lock().finish(&self.ticket, outcome);
    }
}

impl Drop for TicketHold {
    fn drop(&mut self) {
        if !self.is_settled {
            self.desk.lock().finish(&self.ticket, KnownOutcome::Unknown);
        }
        self.desk.changed.notify_waiters();
    }
}

impl PeerHandler for OutcomeDesk {
    fn handle(
        &self,
        _from: HostId,
        request: PeerRequest,
    ) -> BoxFuture<'_, Result<PeerReply, PeerError>> {
        if let PeerRequest::KeepOutcomes { outcomes } = request {
            self.adopt(outcomes);
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
