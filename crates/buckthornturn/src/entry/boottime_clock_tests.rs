use std::time::Duration;

use coordination::fleet::CustomerLimit;
use coordination::fleet::QuotaDecision;
use coordination::fleet::QuotaLedger;

use super::BoottimeClock;

#[test]
fn it_agrees_with_the_monotonic_clock_without_a_suspend() {
    let clock = BoottimeClock::start();
    std::thread::sleep(Duration::from_millis(20));
    let (counted, steady) = (clock.now(), std::time::Instant::now());
    let apart = counted.max(steady) - counted.min(steady);
    assert!(apart < Duration::from_millis(15), "{apart:?}");
}

/// Guards against spending tokens whose term ended during a suspend. The boot time moves on by two seconds, as after a
/// suspend in which the monotonic clock did not advance.
#[test]
fn tokens_are_not_spent_after_a_suspend() {
    let clock = BoottimeClock::start();
    let mut ledger = QuotaLedger::default();
    let limit = CustomerLimit { rate: 1.0, burst: 1.0 };
    ledger.set_limits([("c".into(), limit)].into_iter(), clock.at(clock.boot_time_at_start));
    ledger.refund_token("c", clock.at(clock.boot_time_at_start));
    let after = clock.at(clock.boot_time_at_start + Duration::from_secs(2));
    assert_eq!(ledger.admit_request("c", after), QuotaDecision::AskKeeper { tokens: 1 });
}
