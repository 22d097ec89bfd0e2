//! Tests of a store that is lost and comes back, in a model of the hosts of a region that follow it through relays.

mod support {
    pub mod heartbeats;
    pub mod relay_model;
}

use std::time::Duration;

use support::relay_model::RelayModel;

/// Time for which the store is away, and time from its return to the write.
const AWAY_TIME: Duration = Duration::from_millis(500);
const LONG_AWAY_TIME: Duration = Duration::from_secs(8);
const WRITE_DELAY: Duration = Duration::from_secs(3);
/// Time in which a change must be in force.
const APPLY_TIME: Duration = Duration::from_secs(2);
/// Longest pause of a relay between two calls to the store.
const LONGEST_BACKOFF: Duration = Duration::from_secs(1);
/// Most hosts that call the store, at the pace of their pauses, and hosts of a region that follow it.
const CANDIDATES: usize = 6;
const RELAYS: usize = 2;
/// Time of the model after the write.
const REST_TIME: Duration = Duration::from_secs(8);

macro_rules! returns {
    ($($(#[$attribute:meta])* $name:ident: $hosts:literal hosts, away $away:ident;)*) => {$(
        $(#[$attribute])* #[test]
        fn $name() {
            for seed in 0..2 {
                check_return($hosts, $away, seed);
            }
        }
    )*};
}

returns! {
    /// Followers went round hosts that did not follow the store, while its relays had left it to them.
    followers_of_twenty_hosts_stay_with_relays_that_lose_the_store: 20 hosts, away AWAY_TIME;
    followers_of_sixty_hosts_stay_with_relays_that_lose_the_store: 60 hosts, away AWAY_TIME;
    followers_of_195_hosts_stay_with_relays_that_lose_the_store: 195 hosts, away AWAY_TIME;
    followers_of_sixty_hosts_stay_with_relays_during_a_long_loss: 60 hosts, away LONG_AWAY_TIME;
}

fn check_return(hosts: usize, away: Duration, seed: u64) {
    let mut model = RelayModel::settled(hosts, seed);
    model.lose_store(0..hosts);
    model.run(away);
    model.return_store();
    model.run(WRITE_DELAY);
    let read = model.apply_times();
    model.write();
    model.run(REST_TIME);
    let written = model.apply_times();
    let counts = model.counts();
    println!(
        "{hosts} hosts, seed {seed}: {counts:?}, return read after {read:?}, write after {written:?}"
    );
    assert!(read.is_some_and(|(first, _)| first <= LONGEST_BACKOFF), "{read:?}");
    assert!(read.is_some_and(|(_, last)| last <= APPLY_TIME), "{read:?}");
    assert!(written.is_some_and(|(_, last)| last <= APPLY_TIME), "{written:?}");
    assert!(counts.refusals <= hosts, "{counts:?}");
    let pauses = away.as_millis() / 150 + 2;
    assert!(counts.failed_calls <= CANDIDATES * pauses as usize, "{counts:?}");
}

/// Both relays are cut off from the store; the others reach it.
#[test]
fn followers_leave_relays_that_are_cut_off() {
    for hosts in [20, 60, 195] {
        for seed in 0..2 {
            let mut model = RelayModel::settled(hosts, seed);
            model.lose_store(0..RELAYS);
            model.write();
            model.run(REST_TIME);
            let (written, counts) = (model.apply_times(), model.counts());
            println!("{hosts} hosts, seed {seed}: {counts:?}, write after {written:?}");
            assert!(written.is_some_and(|(_, last)| last <= APPLY_TIME), "{written:?}");
            assert!((1..=RELAYS).contains(&model.following().len()), "{:?}", model.following());
        }
    }
}
