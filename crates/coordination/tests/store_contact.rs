//! Tests of what a host concludes from its calls to the store and to relays.

use std::time::Duration;
use std::time::Instant;

use coordination::fleet::StoreContact;

/// Well past the time for which a host leaves the store to others.
const LONG_AFTER: Duration = Duration::from_secs(60);

/// A host that was cut off was taken for a relay again every five seconds.
#[test]
fn a_failure_is_forgotten_only_after_an_answer() {
    let (mut contact, now) = (StoreContact::default(), Instant::now());
    contact.record_failure(now);
    assert!(!contact.may_try(now));
    assert!(contact.may_try(now + LONG_AFTER));
    contact.record_call();
    assert!(!contact.reaches_store() && !contact.follows_store());
    contact.record_relayed();
    assert!(!contact.reaches_store() && !contact.follows_store());
    contact.record_answer();
    assert!(contact.reaches_store() && contact.follows_store());
}

#[test]
fn a_host_that_never_called_the_store_serves_no_watches() {
    let mut contact = StoreContact::default();
    contact.record_relayed();
    assert!(!contact.serves_watches());
}

/// Hosts would wait at one whose own relay is gone.
#[test]
fn a_host_that_handed_the_store_over_serves_watches_until_its_relay_fails() {
    let (mut contact, now) = (StoreContact::default(), Instant::now());
    contact.record_call();
    contact.record_failure(now);
    assert!(contact.serves_watches() && contact.must_probe());
    contact.record_relayed();
    assert!(contact.serves_watches() && !contact.follows_store() && !contact.must_probe());
    contact.record_relay_failure();
    assert!(!contact.serves_watches());
}
