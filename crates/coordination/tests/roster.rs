//! What entry hosts know of each other.

#![allow(clippy::unwrap_used)]

mod support {
    pub mod heartbeats;
}

use std::time::Duration;
use std::time::Instant;

use coordination::fleet::HostPhase;
use coordination::fleet::HostRoster;
use coordination::fleet::LISTED_FOR;
use indexmap::IndexSet;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use support::heartbeats::news;

/// Hosts of the grown sites, and what each sends in each heartbeat.
const FLEET: usize = 83;
const FAN_OUT: usize = 6;
const RIDERS: usize = 3;

/// A live host that others take for silent is left out of look-ups and replaced as a relay and as a keeper of tokens.
#[test]
fn hosts_of_a_large_fleet_hear_of_each_other_all_the_time() {
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let start = Instant::now();
    let names: Vec<String> = (0..FLEET).map(|number| format!("host-{number}")).collect();
    let mut rosters = vec![HostRoster::default(); FLEET];
    for roster in &mut rosters {
        for name in &names {
            roster.hear(news(name, 1, 0), true, start);
        }
    }
    let (mut silent, mut all) = (0, 0);
    for beat in 1..60_u64 {
        let now = start + Duration::from_millis(500) * beat as u32;
        for sender in 0..FLEET {
            let others = rosters[sender].sample(RIDERS, now, &mut rng);
            let seen = rosters[sender].seen(now, &mut rng);
            for _ in 0..FAN_OUT {
                let receiver = &mut rosters[rng.random_range(0..FLEET)];
                receiver.hear(news(&names[sender], 1, beat), true, now);
                for news in &others {
                    receiver.hear(news.clone(), false, now);
                }
                seen.iter().for_each(|sign| receiver.hear_sign(*sign, now));
            }
        }
        all += FLEET * (FLEET - 1);
        for (own, roster) in rosters.iter().enumerate() {
            silent += FLEET - 1 - roster.live(now).filter(|news| *news.host != *names[own]).count();
        }
    }
    assert!(silent * 1_000 <= all, "{silent} of {all}");
}

macro_rules! cases {
    ($($name:ident: $check:expr;)*) => {
        $(#[test] fn $name() { $check(Instant::now()); })*
    };
}

cases! {
    a_later_heartbeat_replaces_an_earlier_one: |now| {
        let mut roster = HostRoster::default();
        assert!(roster.hear(news("a", 1, 5), true, now));
        assert!(!roster.hear(news("a", 1, 4), true, now));
        assert!(roster.hear(news("a", 1, 6), false, now));
    };
    a_rider_with_an_old_incarnation_does_not_bring_it_back: |now| {
        let mut roster = HostRoster::default();
        roster.hear(news("a", 1, 5), true, now);
        assert!(roster.hear(news("a", 2, 1), true, now));
        assert!(!roster.hear(news("a", 1, 9), false, now));
        assert!(roster.knows("a", 2));
    };
    a_rider_does_not_replace_a_live_incarnation: |now| {
        let mut roster = HostRoster::default();
        roster.hear(news("a", 1, 5), true, now);
        assert!(!roster.hear(news("a", 2, 1), false, now));
        let later = now + LISTED_FOR + Duration::from_millis(1);
        assert!(roster.hear(news("a", 2, 1), false, later));
    };
    a_silent_host_is_not_listed_but_still_counted: |now| {
        let mut roster = HostRoster::default();
        roster.hear(news("a", 1, 1), true, now);
        let later = now + Duration::from_secs(3);
        roster.prune(later);
        assert_eq!((roster.live(later).count(), roster.counted().count()), (0, 1));
        let much_later = now + Duration::from_secs(61);
        roster.prune(much_later);
        assert_eq!(roster.counted().count(), 0);
    };
    a_host_that_left_is_forgotten_soon: |now| {
        let mut roster = HostRoster::default();
        let mut leaving = news("a", 1, 1);
        leaving.phase = HostPhase::Leaving;
        roster.hear(leaving, true, now);
        roster.prune(now + LISTED_FOR);
        assert_eq!(roster.counted().count(), 0);
    };
    a_rider_keeps_the_demand_that_the_host_itself_told: |now| {
        let mut roster = HostRoster::default();
        let mut told = news("a", 1, 1);
        told.demand.insert("c".into(), 5.0);
        roster.hear(told, true, now);
        roster.hear(news("a", 1, 2), false, now);
        assert_eq!(roster.counted().next().unwrap().demand["c"], 5.0);
        roster.hear(news("a", 1, 3), true, now);
        assert!(roster.counted().next().unwrap().demand.is_empty());
    };
    a_sign_of_life_keeps_a_host_listed: |now| {
        let mut near = HostRoster::default();
        let mut far = HostRoster::default();
        near.hear(news("a", 1, 1), true, now);
        far.hear(news("a", 1, 1), true, now);
        let later = now + LISTED_FOR;
        near.hear(news("a", 1, 6), true, later);
        for sign in near.seen(later, &mut ChaCha8Rng::seed_from_u64(1)) {
            far.hear_sign(sign, later);
        }
        let end = later + LISTED_FOR;
        assert_eq!(far.live(end).count(), 1);
        // The news themselves still count when they come.
        let mut told = news("a", 1, 6);
        told.phase = HostPhase::Leaving;
        assert!(far.hear(told, true, end));
    };
    a_sign_tells_of_a_change_of_phase: |now| {
        let mut near = HostRoster::default();
        let mut far = HostRoster::default();
        far.hear(news("a", 1, 1), true, now);
        let mut leaving = news("a", 1, 5);
        leaving.phase = HostPhase::Leaving;
        near.hear(leaving, true, now);
        for sign in near.seen(now, &mut ChaCha8Rng::seed_from_u64(1)) {
            far.hear_sign(sign, now);
        }
        // Earlier news that come later do not take it back.
        far.hear(news("a", 1, 3), false, now);
        assert_eq!(far.counted().next().unwrap().phase, HostPhase::Leaving);
    };
    a_sign_of_an_earlier_start_keeps_nothing_listed: |now| {
        let mut near = HostRoster::default();
        let mut far = HostRoster::default();
        near.hear(news("a", 1, 9), true, now);
        far.hear(news("a", 2, 1), true, now);
        let later = now + LISTED_FOR;
        for sign in near.seen(later, &mut ChaCha8Rng::seed_from_u64(1)) {
            far.hear_sign(sign, later);
        }
        assert_eq!(far.live(later + Duration::from_secs(1)).count(), 0);
    };
    a_host_that_leaves_goes_first_among_the_news: |now| {
        let mut roster = HostRoster::default();
        for name in ["a", "b", "c", "d", "e", "f", "g", "h"] {
            roster.hear(news(name, 1, 1), true, now);
        }
        let later = now + Duration::from_secs(10);
        let mut leaving = news("e", 1, 9);
        leaving.phase = HostPhase::Leaving;
        roster.hear(leaving, true, later);
        let sample = roster.sample(1, later, &mut ChaCha8Rng::seed_from_u64(1));
        assert_eq!(&*sample[0].host, "e");
    };
    a_sample_names_no_host_twice: |now| {
        let mut roster = HostRoster::default();
        for name in ["a", "b", "c", "d"] {
            roster.hear(news(name, 1, 1), true, now);
        }
        let sample = roster.sample(3, now, &mut ChaCha8Rng::seed_from_u64(1));
        let names: IndexSet<_> = sample.iter().map(|news| &news.host).collect();
        assert_eq!(names.len(), 3);
    };
}
