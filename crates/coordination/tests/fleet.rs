//! Splits and placement of entry hosts.

#![allow(clippy::unwrap_used)]

mod support {
    pub mod fleet_parts;
}

use std::time::Duration;
use std::time::Instant;

use coordination::fleet::AttemptEnd;
use coordination::fleet::BoardHost;
use coordination::fleet::EntryChange;
use coordination::fleet::FaultEstimate;
use coordination::fleet::PlacementRefusal;
use coordination::fleet::RouteSplit;
use coordination::fleet::SpillBand;
use coordination::fleet::TargetBoard;
use coordination::fleet::TargetLoad;
use coordination::fleet::TargetState;
use coordination::ids::TargetId;
use indexmap::IndexSet;
use proptest::prelude::*;

use support::fleet_parts::Ask;
use support::fleet_parts::OBJECTIVE;
use support::fleet_parts::board;
use support::fleet_parts::entry;

/// How much longer a build without optimization may take.
const DEBUG_BUILD: u32 = 20;

macro_rules! cases {
    ($($name:ident: $check:expr;)*) => {
        $(#[test] fn $name() { $check(Instant::now()); })*
    };
}

cases! {
    a_split_gives_each_part_its_weight: |_| {
        let mut split = RouteSplit::default();
        let mut counts = [0; 3];
        for _ in 0..1_000 {
            counts[split.draw(&[90.0, 10.0, 0.0]).unwrap()] += 1;
        }
        assert_eq!(counts, [900, 100, 0]);
        assert_eq!(split.draw(&[0.0, 0.0]), None);
    };
    a_fault_is_forgotten_within_seconds: |now| {
        let mut faults = FaultEstimate::new(now);
        faults.unreachable(now);
        assert!(faults.share(now) > 0.9);
        assert!(faults.share(now + Duration::from_secs(8)) < 0.1);
    };
}

proptest! {
    /// The platform allows a change of 0.15 between windows of two seconds.
    #[test]
    fn spill_changes_slowly_whatever_the_pressure(
        pressures in prop::collection::vec(0.0..3.0_f64, 10), per_second in 20_u64..200,
    ) {
        let start = Instant::now();
        let mut band = SpillBand::new(0.0, start);
        let mut shares = Vec::new();
        for (second, pressure) in pressures.iter().flat_map(|one| [one, one]).enumerate() {
            for request in 0..per_second {
                let at = second as u64 * 1_000 + request * 1_000 / per_second;
                band.observe(*pressure, 0.1, start + Duration::from_millis(at));
            }
            shares.push(band.share());
        }
        for pair in shares.windows(3) {
            prop_assert!((pair[2] - pair[0]).abs() <= 0.15, "{shares:?}");
        }
    }
}

cases! {
    a_lost_target_lets_spill_move_at_once: |now: Instant| {
        let mut band = SpillBand::new(0.0, now);
        band.target_lost(now);
        for step in 0..100 {
            band.observe(1.5, 0.1, now + Duration::from_millis(step * 10));
        }
        assert!(band.share() > 0.5, "{}", band.share());
    };
    spill_returns_when_the_region_has_room: |now: Instant| {
        let mut band = SpillBand::new(0.0, now);
        for step in 0..2_000 {
            let pressure = if step < 800 { 1.2 } else { 0.2 };
            band.observe(pressure, 0.1, now + Duration::from_millis(step * 10));
        }
        assert_eq!(band.share(), 0.0);
    };
    refused_requests_are_pressure_too: |now: Instant| {
        let mut band = SpillBand::new(0.0, now);
        for step in 0..600 {
            band.decided(step % 2 == 0);
            band.observe(0.8, 0.8, now + Duration::from_millis(step * 10));
        }
        assert!(band.share() > 0.2, "{}", band.share());
    };
    a_host_with_few_answers_knows_how_busy_targets_are: |now| {
        let mut board = board("h1", "d1", "r1", now);
        let mut later = now;
        for object in 0..10 {
            later += Duration::from_millis(400);
            let choice = Ask::of_object(object).choose(&mut board, later).unwrap();
            let load = TargetLoad { running: 6, waiting: 3, slots: 6 };
            let end = AttemptEnd::Answered { time: Duration::from_millis(100) };
            board.finished(&choice, &"route".into(), end, Some(load), later);
        }
        let record = Ask::of_object(1).choose(&mut board, later).unwrap();
        assert!(record.pressure > 1.0, "{record:?}");
    };
    a_host_that_refused_all_tries_again_within_a_second: |now| {
        let mut board = board("h1", "d1", "r1", now);
        let mut later = now;
        for object in 0..400 {
            later += Duration::from_millis(10);
            let Ok(choice) = Ask::of_object(object % 40).choose(&mut board, later) else { continue };
            let load = TargetLoad { running: 6, waiting: 6, slots: 6 };
            let end = AttemptEnd::Answered { time: Duration::from_millis(360) };
            board.finished(&choice, &"route".into(), end, Some(load), later);
        }
        assert!(Ask::of_object(50).choose(&mut board, later).is_err());
        let tries = (0..100).map(|step| later + Duration::from_millis(step * 10));
        let first = tries.clone().position(|at| Ask::of_object(50).choose(&mut board, at).is_ok());
        assert!(first.is_some(), "refused for a second");
    };
    a_target_that_is_added_is_tried_though_objects_are_warm_elsewhere: |now| {
        let mut board = board("h1", "d1", "r1", now);
        let answer = |board: &mut TargetBoard, object| {
            let choice = Ask::of_object(object).choose(board, now).unwrap();
            let time = Duration::from_millis(if choice.is_warm { 110 } else { 360 });
            let end = AttemptEnd::Answered { time };
            board.finished(&choice, &"route".into(), end, None, now);
            choice.target
        };
        (0..200).for_each(|object| drop(answer(&mut board, object % 20)));
        board.put(entry("new", "d1", "r1"), now);
        let tries = (0..20).filter(|object| &*answer(&mut board, *object) == "new").count();
        assert!((1..=5).contains(&tries), "{tries}");
        // Where two other hosts are nearer, they try it.
        let nearer = ["n1", "n2"].map(|host| BoardHost { host: host.into(), failure_domain: "d2".into() });
        board.set_hosts(nearer.to_vec());
        board.put(entry("other", "d2", "r1"), now);
        assert!((0..20).all(|object| &*answer(&mut board, object) != "other"));
    };
    a_region_with_few_targets_sends_its_surplus_outside_from_the_start: |now| {
        let mut board = board("h1", "d1", "r1", now);
        for number in 13..=24 {
            board.put(entry(&format!("t{number}"), "d3", "r2"), now);
        }
        let outside = (0..300).filter(|object| {
            let choice = Ask::of_object(*object).choose(&mut board.clone(), now).unwrap();
            choice.failure_domain != "d1".into() && choice.failure_domain != "d2".into()
        });
        // A third of the callers and a sixth of the slots: half of the requests.
        assert!((120..=180).contains(&outside.count()));
    };
    a_region_with_its_part_of_the_targets_keeps_its_requests_at_the_start: |now| {
        let mut board = board("h1", "d1", "r1", now);
        Ask::of_object(1).choose(&mut board, now).unwrap();
        assert_eq!(board.spill_shares()["service"], 0.0);
    };
    a_host_that_starts_sends_outside_what_its_neighbours_do: |now| {
        let mut board = board("h1", "d1", "r1", now);
        board.set_neighbour_shares([("service".into(), 0.4)].into());
        Ask::of_object(1).choose(&mut board, now).unwrap();
        assert_eq!(board.spill_shares()["service"], 0.4);
    };
    the_same_objects_run_outside: |now: Instant| {
        let mut band = SpillBand::new(0.0, now);
        for step in 0..600 {
            band.observe(1.2, 0.1, now + Duration::from_millis(step * 10));
        }
        let share = band.share();
        assert!(share > 0.2 && band.is_outside(share / 2.0) && !band.is_outside(share * 1.1));
    };
    hosts_of_a_region_send_an_object_to_the_same_target: |now| {
        let mut boards = [board("h1", "d1", "r1", now), board("h2", "d2", "r1", now)];
        for object in 0..50 {
            let chosen = boards.each_mut().map(|board| {
                let choice = Ask::of_object(object).choose(board, now).unwrap();
                let end = AttemptEnd::Answered { time: OBJECTIVE / 2 };
                board.finished(&choice, &"route".into(), end, None, now);
                choice.target
            });
            assert_eq!(chosen[0], chosen[1]);
        }
    };
    a_draining_target_gets_nothing: |now| {
        let mut board = board("h1", "d1", "r1", now);
        let mut leaving = entry("t1", "d1", "r1");
        leaving.state = TargetState::Draining;
        assert_eq!(board.put(leaving, now), EntryChange::Updated);
        let chosen = targets_of_many(&mut board, now);
        assert!(chosen.len() > 2 && !chosen.contains("t1"), "{chosen:?}");
    };
    an_entry_that_says_the_same_changes_nothing: |now| {
        let mut board = board("h1", "d1", "r1", now);
        assert_eq!(board.put(entry("t1", "d1", "r1"), now), EntryChange::Same);
    };
    a_target_that_started_again_is_another_one: |now| {
        let mut board = board("h1", "d1", "r1", now);
        let mut again = entry("t1", "d1", "r1");
        again.started_at += 1;
        assert_eq!(board.put(again, now), EntryChange::Started);
    };
    a_closed_domain_gets_nothing: |now| {
        let mut board = board("h1", "d1", "r1", now);
        board.set_closed(["d1".into()].into_iter().collect(), now);
        let chosen = targets_of_many(&mut board, now);
        assert!(chosen.len() > 1 && !chosen.contains("t1") && !chosen.contains("t7"), "{chosen:?}");
    };
    homes_bind_where_all_their_targets_are_gone: |now| {
        let mut board = board("h1", "d1", "r1", now);
        let mut ask = Ask::of_object(1);
        ask.regions = vec!["nowhere".into()];
        assert_eq!(ask.choose(&mut board, now), Err(PlacementRefusal::NoTarget));
    };
    a_target_that_was_tried_is_left_out: |now| {
        let mut board = board("h1", "d1", "r1", now);
        let mut ask = Ask::of_object(1);
        let first = ask.choose(&mut board, now).unwrap().target;
        ask.excluded = vec![first.clone()];
        assert_ne!(ask.choose(&mut board, now).unwrap().target, first);
    };
    full_targets_refuse_at_once: |now| {
        let mut board = board("h1", "d1", "r1", now);
        let full = TargetLoad { running: 6, waiting: 18, slots: 6 };
        for object in 0..400 {
            match Ask::of_object(object).choose(&mut board, now) {
                Ok(choice) => {
                    let end = AttemptEnd::Answered { time: OBJECTIVE };
                    board.finished(&choice, &"route".into(), end, Some(full), now);
                }
                Err(refusal) => {
                    assert!(matches!(refusal, PlacementRefusal::Busy { wait, .. } if !wait.is_zero()));
                    return;
                }
            }
        }
        panic!("nothing was refused");
    };
    a_request_whose_time_is_up_is_refused: |now| {
        let mut board = board("h1", "d1", "r1", now);
        let mut ask = Ask::of_object(1);
        ask.time_left = Duration::from_millis(1);
        assert!(matches!(ask.choose(&mut board, now), Err(PlacementRefusal::Busy { .. })));
    };
    an_unreachable_target_is_avoided: |now| {
        let mut board = board("h1", "d1", "r1", now);
        let choice = Ask::of_object(3).choose(&mut board, now).unwrap();
        board.finished(&choice, &"route".into(), AttemptEnd::Unreachable, None, now);
        let again = Ask::of_object(3).choose(&mut board, now).unwrap();
        assert_ne!(again.target, choice.target);
    };
    many_targets_and_hosts_are_taken_fast: |now: Instant| {
        let hosts = (0..300).map(|number| BoardHost {
            host: format!("h{number}").into(),
            failure_domain: "d1".into(),
        });
        let mut board = board("h0", "d1", "r1", now);
        board.set_hosts(hosts.collect());
        for number in 0..2_000 {
            board.put(entry(&format!("many-{number}"), "d1", "r1"), now);
        }
        // Two thousand entries in a second of a tenth of a core.
        assert!(now.elapsed() < Duration::from_millis(100) * DEBUG_BUILD, "{:?}", now.elapsed());
    };
    cold_targets_get_no_more_than_the_platform_tolerates: cold_targets_over_ten_hosts;
}

/// Targets that get the requests for many objects, answered one after the other.
fn targets_of_many(board: &mut TargetBoard, now: Instant) -> IndexSet<TargetId> {
    (0..100)
        .map(|object| {
            let choice = Ask::of_object(object).choose(board, now).unwrap();
            let end = AttemptEnd::Answered { time: OBJECTIVE / 2 };
            board.finished(&choice, &"route".into(), end, None, now);
            choice.target
        })
        .collect()
}

/// Counts what ten hosts, two of which see other hosts than the rest, send to one cold target in any second. The platform
/// tolerates 9.2 x 1.5 + 5.
fn cold_targets_over_ten_hosts(start: Instant) {
    let names: Vec<String> = (0..10).map(|number| format!("h{number}")).collect();
    let mut boards: Vec<_> = names
        .iter()
        .enumerate()
        .map(|(at, name)| support::fleet_parts::cold_board(name, &names, at < 8, start))
        .collect();
    let mut sent = Vec::new();
    for step in 0..300_u64 {
        let now = start + Duration::from_millis(step * 10);
        for board in &mut boards {
            let placed = Ask::of_object(step).choose(board, now);
            sent.extend(placed.ok().map(|_| step));
        }
    }
    assert!(!sent.is_empty());
    for from in 0..200 {
        let second = sent.iter().filter(|at| (from..from + 100).contains(*at)).count();
        assert!(second as f64 <= 9.2 * 1.5 + 5.0, "{second} in a second");
    }
}
