//! Tickets: signed permission to run one non-repeatable request at most once, issued by the process that dispatches it.

use std::time::Duration;
use std::time::Instant;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use rand::Rng;
use sha2::Sha256;
use snafu::Snafu;

use crate::ids::CustomerId;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::ServiceId;

/// Longest text that is parsed as a ticket, in bytes.
pub const MAX_TICKET_BYTES: usize = 1_024;

const SECRET_BYTES: usize = 64;
const NONCE_BYTES: usize = 16;
const FIELD_SEPARATOR: char = '\0';

type TicketMac = Hmac<Sha256>;

/// Reason why a text is not a ticket that this process accepts.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub enum TicketError {
    /// The text is not a ticket.
    #[snafu(display("the ticket is malformed"))]
    Malformed,
    /// This process did not issue the ticket, or it was altered.
    #[snafu(display("the ticket was not issued by this process"))]
    Forged,
    /// The lifetime of the ticket has ended.
    #[snafu(display("the ticket has expired"))]
    Expired,
    /// The ticket was issued to another customer or for another service.
    #[snafu(display("the ticket was issued to another customer or for another service"))]
    Foreign,
}

/// Unverified contents of a ticket; only its issuer can verify them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TicketClaims {
    /// Host that issued the ticket, as the ticket states.
    pub host: HostId,
    /// Process start that issued the ticket.
    pub incarnation: Incarnation,
    /// Customer that the ticket was issued to.
    pub customer: CustomerId,
    /// Service that the ticket is valid for.
    pub service: ServiceId,
    /// Expiry, in milliseconds since the issuer was created, by the issuer's monotonic clock.
    pub expires_ms: u64,
    /// Random value that makes each ticket unique, in unpadded URL-safe Base64.
    pub nonce: Box<str>,
}

impl TicketClaims {
    /// Parses a ticket without verifying it, to find the host that issued it.
    ///
    /// # Errors
    ///
    /// Returns `Malformed` if the text is not a ticket.
    pub fn parse(text: &str) -> Result<Self, TicketError> {
        let (payload, _) = split_ticket(text)?;
        let payload = String::from_utf8(payload).map_err(|_| TicketError::Malformed)?;
        let mut fields = payload.split(FIELD_SEPARATOR);
        let mut field = || fields.next().ok_or(TicketError::Malformed);
        let claims = Self {
            host: field()?.into(),
            incarnation: field()?.parse().map_err(|_| TicketError::Malformed)?,
            customer: field()?.into(),
            service: field()?.into(),
            expires_ms: field()?.parse().map_err(|_| TicketError::Malformed)?,
            nonce: field()?.into(),
        };
        match fields.next() {
            None => Ok(claims),
            Some(_) => Err(TicketError::Malformed),
        }
    }

    fn payload(&self) -> String {
        let Self { host, incarnation, customer, service, expires_ms, nonce } = self;
        let separator = FIELD_SEPARATOR;
        format!(
            "{host}{separator}{incarnation}{separator}{customer}{separator}{service}{separator}\
             {expires_ms}{separator}{nonce}"
        )
    }
}

/// Issues and verifies the tickets of one process.
pub struct TicketIssuer {
    host: HostId,
    incarnation: Incarnation,
    secret: [u8; SECRET_BYTES],
    started_at: Instant,
    lifetime: Duration,
}

impl TicketIssuer {
    /// Creates an issuer with a random secret that is never stored or sent, so that no other process can verify its tickets.
    pub fn new(
        host: HostId,
        incarnation: Incarnation,
        lifetime: Duration,
        now: Instant,
        random: &mut impl Rng,
    ) -> Self {
        let mut secret = [0; SECRET_BYTES];
        random.fill_bytes(&mut secret);
        Self { host, incarnation, secret, started_at: now, lifetime }
    }

    /// Time for which a ticket is valid after it was issued.
    pub fn lifetime(&self) -> Duration {
        self.lifetime
    }

    /// Whether the claims name this process as the issuer; does not verify them.
    pub fn is_issuer(&self, claims: &TicketClaims) -> bool {
        claims.host == self.host && claims.incarnation == self.incarnation
    }

    /// Issues a ticket to a customer for one request to a service, valid for `lifetime`.
    pub fn issue(
        &self,
        customer: CustomerId,
        service: ServiceId,
        now: Instant,
        random: &mut impl Rng,
    ) -> Box<str> {
        let mut nonce = [0; NONCE_BYTES];
        random.fill_bytes(&mut nonce);
        let expires = now.saturating_duration_since(self.started_at) + self.lifetime;
        let claims = TicketClaims {
            host: self.host.clone(),
            incarnation: self.incarnation,
            customer,
            service,
            expires_ms: expires.as_millis() as u64,
            nonce: URL_SAFE_NO_PAD.encode(nonce).into(),
        };
        let payload = claims.payload();
        let mac = self.mac(payload.as_bytes()).finalize().into_bytes();
        format!("{}.{}", URL_SAFE_NO_PAD.encode(payload), URL_SAFE_NO_PAD.encode(mac)).into()
    }

    /// Verifies that this process issued the ticket to this customer for this service. Returns its remaining lifetime, which
    /// is never zero.
    ///
    /// # Errors
    ///
    /// Returns the reason if the ticket is not valid for this request at `now`.
    pub fn verify(
        &self,
        text: &str,
        customer: &str,
        service: &str,
        now: Instant,
    ) -> Result<Duration, TicketError> {
        let claims = TicketClaims::parse(text)?;
        let (payload, mac) = split_ticket(text)?;
        self.mac(&payload).verify_slice(&mac).map_err(|_| TicketError::Forged)?;
        if !self.is_issuer(&claims) {
            return Err(TicketError::Forged);
        }
        if &*claims.customer != customer || &*claims.service != service {
            return Err(TicketError::Foreign);
        }
        let age = now.saturating_duration_since(self.started_at);
        match Duration::from_millis(claims.expires_ms).checked_sub(age) {
            Some(rest) if !rest.is_zero() => Ok(rest),
            _ => Err(TicketError::Expired),
        }
    }

    fn mac(&self, payload: &[u8]) -> TicketMac {
        let mut mac = TicketMac::new(&self.secret.into());
        mac.update(payload);
        mac
    }
}

fn split_ticket(text: &str) -> Result<(Vec<u8>, Vec<u8>), TicketError> {
    if text.len() > MAX_TICKET_BYTES {
        return Err(TicketError::Malformed);
    }
    let (payload, mac) = text.split_once('.').ok_or(TicketError::Malformed)?;
    let decode = |part| URL_SAFE_NO_PAD.decode(part).map_err(|_| TicketError::Malformed);
    Ok((decode(payload)?, decode(mac)?))
}
