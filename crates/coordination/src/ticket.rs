//! Tickets: leave to run one non-repeatable request at most once, given by the process that will dispatch it.

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

/// Longest text that is read as a ticket, in bytes.
pub const MAX_TICKET_BYTES: usize = 1_024;

const SECRET_BYTES: usize = 64;
const NONCE_BYTES: usize = 16;
const FIELD_SEPARATOR: char = '\0';

type TicketMac = Hmac<Sha256>;

/// Why a text is not a ticket that may be used here.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub enum TicketError {
    /// The text is not a ticket.
    #[snafu(display("the ticket is malformed"))]
    Malformed,
    /// This process did not issue it.
    #[snafu(display("the ticket was not issued by this process"))]
    Forged,
    /// Its life has ended.
    #[snafu(display("the ticket has expired"))]
    Expired,
    /// It was issued to another customer or for another service.
    #[snafu(display("the ticket was issued to another customer or for another service"))]
    Foreign,
}

/// What a ticket says. Only its issuer can tell whether that is true.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TicketClaims {
    /// Host that issued it.
    pub host: HostId,
    /// Process start that issued it.
    pub incarnation: Incarnation,
    /// Customer that it was issued to.
    pub customer: CustomerId,
    /// Service that it is for.
    pub service: ServiceId,
    /// End of its life, in milliseconds since the issuer's start by the issuer's monotonic clock.
    pub expires_ms: u64,
    /// Random part.
    pub nonce: Box<str>,
}

impl TicketClaims {
    /// Reads a ticket without proof that it is genuine, to learn where to send it.
    ///
    /// # Errors
    ///
    /// Fails if the text is not a ticket.
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

/// Issues and proves the tickets of one process.
pub struct TicketIssuer {
    host: HostId,
    incarnation: Incarnation,
    secret: [u8; SECRET_BYTES],
    started_at: Instant,
    lifetime: Duration,
}

impl TicketIssuer {
    /// An issuer with a secret of its own, which is never kept or sent.
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

    /// Life of a ticket.
    pub fn lifetime(&self) -> Duration {
        self.lifetime
    }

    /// Whether claims name this process.
    pub fn is_issuer(&self, claims: &TicketClaims) -> bool {
        claims.host == self.host && claims.incarnation == self.incarnation
    }

    /// Issues a ticket.
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

    /// Proves that this process issued a ticket to a customer for a service. Returns the rest of its life.
    ///
    /// # Errors
    ///
    /// Fails if the ticket may not be used for this request here and now.
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
