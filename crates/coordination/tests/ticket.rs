//! Tickets: which process, customer and service may use them, and until when.

use std::time::Duration;
use std::time::Instant;

use coordination::ticket::TicketClaims;
use coordination::ticket::TicketError;
use coordination::ticket::TicketIssuer;
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const LIFETIME: Duration = Duration::from_secs(60);

fn issuer(host: &str, incarnation: u64, seed: u64, now: Instant) -> TicketIssuer {
    TicketIssuer::new(host.into(), incarnation, LIFETIME, now, &mut ChaCha8Rng::seed_from_u64(seed))
}

macro_rules! verification {
    ($($name:ident: issued $issued:expr, shown $shown:expr, after $after:expr => $result:expr,)*) => {$(
        #[test]
        fn $name() {
            let now = Instant::now();
            let mut random = ChaCha8Rng::seed_from_u64(7);
            let (host, incarnation, seed) = $issued;
            let ticket = issuer(host, incarnation, seed, now)
                .issue("aurora".into(), "pay".into(), now, &mut random);
            let (customer, service) = $shown;
            let result = issuer("host-1", 5, 1, now).verify(&ticket, customer, service, now + $after);
            assert_eq!(result.err(), $result);
        }
    )*};
}

verification! {
    own_ticket_is_accepted:
        issued ("host-1", 5, 1), shown ("aurora", "pay"), after Duration::from_secs(59) => None,
    ticket_expires_after_its_lifetime:
        issued ("host-1", 5, 1), shown ("aurora", "pay"), after LIFETIME => Some(TicketError::Expired),
    ticket_of_another_customer_is_refused:
        issued ("host-1", 5, 1), shown ("boreal", "pay"), after Duration::ZERO => Some(TicketError::Foreign),
    ticket_of_another_service_is_refused:
        issued ("host-1", 5, 1), shown ("aurora", "book"), after Duration::ZERO => Some(TicketError::Foreign),
    ticket_of_another_secret_is_refused:
        issued ("host-1", 5, 2), shown ("aurora", "pay"), after Duration::ZERO => Some(TicketError::Forged),
    ticket_of_an_earlier_process_is_refused:
        issued ("host-1", 4, 1), shown ("aurora", "pay"), after Duration::ZERO => Some(TicketError::Forged),
}

#[test]
fn claims_name_the_issuer() {
    let now = Instant::now();
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let issuer = issuer("host-1", 5, 1, now);
    let ticket = issuer.issue("aurora".into(), "pay".into(), now, &mut random);
    let claims = TicketClaims::parse(&ticket).unwrap();
    assert!(issuer.is_issuer(&claims));
    assert_eq!((&*claims.customer, &*claims.service), ("aurora", "pay"));
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(6),
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_altered_ticket_is_accepted(at in 0_usize..200, byte in 0_u8..128) {
        let now = Instant::now();
        let mut random = ChaCha8Rng::seed_from_u64(7);
        let issuer = issuer("host-1", 5, 1, now);
        let ticket = issuer.issue("aurora".into(), "pay".into(), now, &mut random);
        let mut bytes = ticket.as_bytes().to_vec();
        let at = at % bytes.len();
        prop_assume!(bytes[at] != byte);
        bytes[at] = byte;
        let altered = String::from_utf8(bytes).unwrap();
        prop_assert!(issuer.verify(&altered, "aurora", "pay", now).is_err());
    }

    #[test]
    fn any_text_is_parsed_without_a_panic(text in "\\PC{0,300}") {
        let _ = TicketClaims::parse(&text);
    }
}
