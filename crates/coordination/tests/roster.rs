//! Tests of the roster: which hosts are live, known and forwarded.

#![allow(clippy::unwrap_used)]

mod support {
    pub mod heartbeats;
}

use std::time::Duration;
use std::time::Instant;

use coordination::fleet::HostPhase;
use coordination::fleet::HostRoster;
use coordination::fleet::LIVENESS_TIMEOUT;
use indexmap::IndexSet;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use support::heartbeats::heartbeat;

/// Number of hosts at the largest deployments, receivers of each heartbeat, and heartbeats of others that each
/// heartbeat carries.
const FLEET: usize = 83;
const FAN_OUT: usize = 6;
const FORWARDED_HEARTBEATS: usize = 3;

/// A live host that others take for silent is left out of look-ups and replaced as a relay and as a keeper. At most one
/// in a thousand views of a host may be wrong.
#[test]
fn hosts_of_a_large_fleet_hear_of_each_other_all_the_time() {
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let start = Instant::now();
    let names: Vec<String> = (0..FLEET).map(|number| format!("host-{number}")).collect();
    let mut rosters = vec![HostRoster::default(); FLEET];
    for roster in &mut rosters {
        for name in &names {
            roster.record_heartbeat(heartbeat(name, 1, 0), true, start);
        }
    }
    let (mut silent, mut all) = (0, 0);
    for beat in 1..60_u64 {
        let now = start + Duration::from_millis(500) * beat as u32;
        for sender in 0..FLEET {
            let others = rosters[sender].sample_heartbeats(FORWARDED_HEARTBEATS, now, &mut rng);
            let liveness = rosters[sender].sample_liveness(now, &mut rng);
            for _ in 0..FAN_OUT {
                let receiver = &mut rosters[rng.random_range(0..FLEET)];
                receiver.record_heartbeat(heartbeat(&names[sender], 1, beat), true, now);
                for heartbeat in &others {
                    receiver.record_heartbeat(heartbeat.clone(), false, now);
                }
                liveness.iter().for_each(|digest| receiver.record_liveness(*digest, now));
            }
        }
        all += FLEET * (FLEET - 1);
        for (own, roster) in rosters.iter().enumerate() {
            silent += FLEET
                - 1
                - roster.live_hosts(now).filter(|heartbeat| *heartbeat.host != *names[own]).count();
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
        assert!(roster.record_heartbeat(heartbeat("a", 1, 5), true, now));
        assert!(!roster.record_heartbeat(heartbeat("a", 1, 4), true, now));
        assert!(roster.record_heartbeat(heartbeat("a", 1, 6), false, now));
    };
    a_forwarded_heartbeat_does_not_restore_an_old_incarnation: |now| {
        let mut roster = HostRoster::default();
        roster.record_heartbeat(heartbeat("a", 1, 5), true, now);
        assert!(roster.record_heartbeat(heartbeat("a", 2, 1), true, now));
        assert!(!roster.record_heartbeat(heartbeat("a", 1, 9), false, now));
        assert!(roster.knows_incarnation("a", 2));
    };
    a_forwarded_heartbeat_does_not_replace_a_live_incarnation: |now| {
        let mut roster = HostRoster::default();
        roster.record_heartbeat(heartbeat("a", 1, 5), true, now);
        assert!(!roster.record_heartbeat(heartbeat("a", 2, 1), false, now));
        let later = now + LIVENESS_TIMEOUT + Duration::from_millis(1);
        assert!(roster.record_heartbeat(heartbeat("a", 2, 1), false, later));
    };
    a_silent_host_is_not_live_but_still_known: |now| {
        let mut roster = HostRoster::default();
        roster.record_heartbeat(heartbeat("a", 1, 1), true, now);
        let later = now + Duration::from_secs(3);
        roster.prune(later);
        assert_eq!((roster.live_hosts(later).count(), roster.known_hosts().count()), (0, 1));
        let much_later = now + Duration::from_secs(61);
        roster.prune(much_later);
        assert_eq!(roster.known_hosts().count(), 0);
    };
    a_host_that_left_is_forgotten_soon: |now| {
        let mut roster = HostRoster::default();
        let mut leaving = heartbeat("a", 1, 1);
        leaving.phase = HostPhase::Leaving;
        roster.record_heartbeat(leaving, true, now);
        roster.prune(now + LIVENESS_TIMEOUT);
        assert_eq!(roster.known_hosts().count(), 0);
    };
    a_forwarded_heartbeat_keeps_the_demand_sent_by_the_host_itself: |now| {
        let mut roster = HostRoster::default();
        let mut direct = heartbeat("a", 1, 1);
        direct.demand.insert("c".into(), 5.0);
        roster.record_heartbeat(direct, true, now);
        roster.record_heartbeat(heartbeat("a", 1, 2), false, now);
        assert_eq!(roster.known_hosts().next().unwrap().demand["c"], 5.0);
        roster.record_heartbeat(heartbeat("a", 1, 3), true, now);
        assert!(roster.known_hosts().next().unwrap().demand.is_empty());
    };
    a_liveness_digest_keeps_a_host_live: |now| {
        let mut near = HostRoster::default();
        let mut far = HostRoster::default();
        near.record_heartbeat(heartbeat("a", 1, 1), true, now);
        far.record_heartbeat(heartbeat("a", 1, 1), true, now);
        let later = now + LIVENESS_TIMEOUT;
        near.record_heartbeat(heartbeat("a", 1, 6), true, later);
        for liveness in near.sample_liveness(later, &mut ChaCha8Rng::seed_from_u64(1)) {
            far.record_liveness(liveness, later);
        }
        let end = later + LIVENESS_TIMEOUT;
        assert_eq!(far.live_hosts(end).count(), 1);
        // The heartbeat itself still counts when it arrives after its digest.
        let mut leaving = heartbeat("a", 1, 6);
        leaving.phase = HostPhase::Leaving;
        assert!(far.record_heartbeat(leaving, true, end));
    };
    a_liveness_digest_carries_a_change_of_phase: |now| {
        let mut near = HostRoster::default();
        let mut far = HostRoster::default();
        far.record_heartbeat(heartbeat("a", 1, 1), true, now);
        let mut leaving = heartbeat("a", 1, 5);
        leaving.phase = HostPhase::Leaving;
        near.record_heartbeat(leaving, true, now);
        for liveness in near.sample_liveness(now, &mut ChaCha8Rng::seed_from_u64(1)) {
            far.record_liveness(liveness, now);
        }
        // An earlier heartbeat that arrives later does not restore the earlier phase.
        far.record_heartbeat(heartbeat("a", 1, 3), false, now);
        assert_eq!(far.known_hosts().next().unwrap().phase, HostPhase::Leaving);
    };
    a_digest_of_an_earlier_incarnation_keeps_nothing_live: |now| {
        let mut near = HostRoster::default();
        let mut far = HostRoster::default();
        near.record_heartbeat(heartbeat("a", 1, 9), true, now);
        far.record_heartbeat(heartbeat("a", 2, 1), true, now);
        let later = now + LIVENESS_TIMEOUT;
        for liveness in near.sample_liveness(later, &mut ChaCha8Rng::seed_from_u64(1)) {
            far.record_liveness(liveness, later);
        }
        assert_eq!(far.live_hosts(later + Duration::from_secs(1)).count(), 0);
    };
    a_leaving_host_is_forwarded_first: |now| {
        let mut roster = HostRoster::default();
        for name in ["a", "b", "c", "d", "e", "f", "g", "h"] {
            roster.record_heartbeat(heartbeat(name, 1, 1), true, now);
        }
        let later = now + Duration::from_secs(10);
        let mut leaving = heartbeat("e", 1, 9);
        leaving.phase = HostPhase::Leaving;
        roster.record_heartbeat(leaving, true, later);
        let sample = roster.sample_heartbeats(1, later, &mut ChaCha8Rng::seed_from_u64(1));
        assert_eq!(&*sample[0].host, "e");
    };
    a_sample_names_no_host_twice: |now| {
        let mut roster = HostRoster::default();
        for name in ["a", "b", "c", "d"] {
            roster.record_heartbeat(heartbeat(name, 1, 1), true, now);
        }
        let sample = roster.sample_heartbeats(3, now, &mut ChaCha8Rng::seed_from_u64(1));
        let names: IndexSet<_> = sample.iter().map(|heartbeat| &heartbeat.host).collect();
        assert_eq!(names.len(), 3);
    };
}
