use std::time::Duration;

use coordination::fleet::CustomerLimit;
use coordination::fleet::QuotaDecision;
use coordination::fleet::QuotaLedger;

use super::StandstillClock;

#[test]
fn it_agrees_with_the_steady_clock_while_nothing_stands_still() {
    let clock = StandstillClock::start();
    std::thread::sleep(Duration::from_millis(20));
    let (counted, steady) = (clock.now(), std::time::Instant::now());
    let apart = counted.max(steady) - counted.min(steady);
    assert!(apart < Duration::from_millis(15), "{apart:?}");
}

/// The steady clock has not moved, the machine stood still for two seconds.
#[test]
fn tokens_are_not_spent_after_a_standstill() {
    let clock = StandstillClock::start();
    let mut ledger = QuotaLedger::default();
    let limit = CustomerLimit { rate: 1.0, burst: 1.0 };
    ledger.set_limits([("c".into(), limit)].into_iter(), clock.at(clock.started_after));
    ledger.refund_token("c", clock.at(clock.started_after));
    let after = clock.at(clock.started_after + Duration::from_secs(2));
    assert_eq!(ledger.admit_request("c", after), QuotaDecision::AskKeeper { tokens: 1 });
}
