//! Configuration, keys and membership on several hosts while the store, the network and hosts fail.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use serde_json::json;
use standin::store::AnswerLoss;
use standin::store::FaultPlan;
use support::StateFleet;

const APPLY_LIMIT: Duration = Duration::from_secs(5);
const TRIM_LIMIT: Duration = Duration::from_secs(60);
const RECOVERY_LIMIT: Duration = Duration::from_secs(20);

fn store_down() -> FaultPlan {
    FaultPlan { down: true, ..FaultPlan::default() }
}

fn store_silent() -> FaultPlan {
    FaultPlan { silent: true, ..FaultPlan::default() }
}

macro_rules! fleet_case {
    ($($name:ident: $hosts:expr, |$fleet:ident| $body:block)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 4)]
        async fn $name() {
            let mut $fleet = StateFleet::start($hosts).await;
            $body
            let _ = &mut $fleet;
        }
    )*};
}

fleet_case! {
    change_is_in_force_everywhere_within_the_bound: 10, |fleet| {
        for number in 0..10 {
            let revision = fleet.put_customer(number % 10, format!("customer-{number}")).await.unwrap();
            fleet.wait_revision(revision, APPLY_LIMIT).await;
        }
    }

    domain_cut_off_from_the_store_alone_still_receives_changes: 10, |fleet| {
        let cut = fleet.host_names_in("domain-1");
        fleet.store.set_faults(FaultPlan { cut, ..FaultPlan::default() });
        let revision = fleet.put_customer(0, "customer").await.unwrap();
        fleet.wait_revision(revision, APPLY_LIMIT).await;
    }

    concurrent_changes_of_operators_are_all_kept: 6, |fleet| {
        let changes = (0..60).map(|number| {
            fleet.put_customer(number % 6, format!("customer-{number}"))
        });
        let results = futures::future::join_all(changes).await;
        assert!(results.iter().all(Result::is_ok), "{results:?}");
        let latest = results.into_iter().map(Result::unwrap).max().unwrap();
        fleet.wait_revision(latest, APPLY_LIMIT).await;
        for host in fleet.running_hosts() {
            assert_eq!(fleet.customer_count(host), 60);
        }
        assert!(latest < 60, "changes that wait together share a record: {latest}");
    }

    only_one_change_per_expected_revision_is_accepted: 6, |fleet| {
        let revision = fleet.put_customer(0, "first").await.unwrap();
        fleet.wait_revision(revision, APPLY_LIMIT).await;
        let changes = (0..6).map(|host| {
            fleet.put_customer_at(host, format!("customer-{host}"), Some(revision))
        });
        let results = futures::future::join_all(changes).await;
        assert_eq!(results.iter().filter(|result| result.is_ok()).count(), 1, "{results:?}");
        let current = format!("revision {} is in force", revision + 1);
        let refused = results.iter().filter_map(|result| result.as_ref().err());
        assert!(refused.clone().all(|error| error.to_string().contains(&current)), "{results:?}");
    }

    change_whose_answer_was_lost_is_accepted_once: 3, |fleet| {
        let lose_answers = AnswerLoss { count: 0, probability: 0.7, seed: 3 };
        fleet.store.set_faults(FaultPlan { lose_answers, ..FaultPlan::default() });
        let mut latest = 0;
        for number in 0..10 {
            let revision = fleet.put_customer(0, format!("customer-{number}")).await.unwrap();
            assert_eq!(revision, latest + 1);
            latest = revision;
        }
        fleet.wait_revision(latest, APPLY_LIMIT).await;
    }

    store_down_refuses_changes_and_keeps_what_is_in_force: 4, |fleet| {
        let revision = fleet.put_customer(0, "customer").await.unwrap();
        fleet.wait_revision(revision, APPLY_LIMIT).await;
        fleet.store.set_faults(store_down());
        let error = fleet.put_customer(1, "other").await.unwrap_err();
        assert!(error.to_string().starts_with("not accepted"), "{error}");
        tokio::time::sleep(Duration::from_secs(2)).await;
        fleet.wait_revision(revision, Duration::ZERO).await;
        fleet.store.set_faults(FaultPlan::default());
        let later = fleet.put_until_accepted(1, "other", RECOVERY_LIMIT).await;
        fleet.wait_revision(later, RECOVERY_LIMIT).await;
    }

    new_host_reads_its_state_from_peers_while_the_store_is_silent: 4, |fleet| {
        let revision = fleet.put_customer(0, "customer").await.unwrap();
        fleet.wait_revision(revision, APPLY_LIMIT).await;
        fleet.store.set_faults(store_silent());
        fleet.kill(2);
        fleet.start_with_seeds(2, &[0, 1]).await;
        fleet.wait_revision(revision, RECOVERY_LIMIT).await;
    }

    new_host_with_neither_store_nor_peers_has_no_configuration: 2, |fleet| {
        let revision = fleet.put_customer(0, "customer").await.unwrap();
        fleet.wait_revision(revision, APPLY_LIMIT).await;
        fleet.store.set_faults(store_down());
        fleet.kill(0);
        fleet.kill(1);
        fleet.start_with_seeds(1, &[0]).await;
        tokio::time::sleep(Duration::from_secs(2)).await;
        assert_eq!(fleet.revision(1), 0);
        assert!(fleet.host(1).state().freshness.age(std::time::Instant::now()).is_none());
        fleet.store.set_faults(FaultPlan::default());
        fleet.wait_revision(revision, RECOVERY_LIMIT).await;
    }

    all_hosts_replaced_one_after_another_keep_the_configuration: 6, |fleet| {
        let revision = fleet.put_customer(0, "customer").await.unwrap();
        fleet.wait_revision(revision, APPLY_LIMIT).await;
        for number in 0..6 {
            fleet.kill(number);
            fleet.restart(number).await;
            fleet.wait_revision(revision, RECOVERY_LIMIT).await;
        }
        let later = fleet.put_customer(3, "other").await.unwrap();
        assert_eq!(later, revision + 1);
        fleet.wait_revision(later, APPLY_LIMIT).await;
    }

    all_hosts_restarted_at_once_recover_from_the_store: 6, |fleet| {
        let revision = fleet.put_customer(0, "customer").await.unwrap();
        fleet.wait_revision(revision, APPLY_LIMIT).await;
        for number in 0..6 {
            fleet.kill(number);
        }
        for number in 0..6 {
            fleet.restart(number).await;
        }
        fleet.wait_revision(revision, RECOVERY_LIMIT).await;
    }

    log_is_trimmed_behind_a_snapshot_and_a_new_host_reads_it: 3, |fleet| {
        let mut latest = 0;
        for number in 0..460 {
            latest = fleet.put_customer(0, format!("customer-{number}")).await.unwrap();
        }
        fleet.wait_revision(latest, APPLY_LIMIT).await;
        fleet.wait_object("config/log/manifest", true, RECOVERY_LIMIT).await;
        fleet.wait_object("config/log/00000000000000000001", false, TRIM_LIMIT).await;
        fleet.kill(2);
        fleet.restart(2).await;
        fleet.wait_revision(latest, RECOVERY_LIMIT).await;
        assert_eq!(fleet.customer_count(2), 460);
        fleet.put_object("config/log/00000000000000000001", &json!({
            "schema": 1, "revision": 1, "change_id": "stale", "changes": [],
        })).await;
        for number in 0..3 {
            fleet.kill(number);
        }
        for number in 0..3 {
            fleet.restart(number).await;
        }
        fleet.wait_revision(latest, RECOVERY_LIMIT).await;
        assert_eq!(fleet.customer_count(0), 460);
    }

    withdrawal_lists_domains_in_force_and_not_reached: 6, |fleet| {
        fleet.wait_member(0, 1, "Live", RECOVERY_LIMIT).await;
        fleet.wait_member(0, 2, "Live", RECOVERY_LIMIT).await;
        fleet.put_customer(0, "customer").await.unwrap();
        let first_answer = fleet.withdraw_new_key(0, "customer").await;
        assert_eq!(first_answer["in_force"], json!(["domain-0", "domain-1", "domain-2"]), "{first_answer}");
        assert_eq!(first_answer["not_reached"], json!([]));
        fleet.list_unresponsive_host("domain-1");
        fleet.wait_unresponsive_host(0, RECOVERY_LIMIT).await;
        let second_answer = fleet.withdraw_new_key(0, "customer").await;
        assert_eq!(second_answer["in_force"], json!(["domain-0", "domain-2"]), "{second_answer}");
        assert_eq!(second_answer["not_reached"], json!(["domain-1"]));
    }

    record_of_a_newer_schema_is_refused_and_the_state_is_kept: 2, |fleet| {
        let revision = fleet.put_customer(0, "customer").await.unwrap();
        fleet.wait_revision(revision, APPLY_LIMIT).await;
        let key = format!("config/log/{:020}", revision + 1);
        fleet.put_object(&key, &json!({
            "schema": 99, "revision": revision + 1, "change_id": "newer", "unheard_of": true,
        })).await;
        tokio::time::sleep(Duration::from_secs(2)).await;
        fleet.wait_revision(revision, Duration::ZERO).await;
        assert_eq!(fleet.customer_count(1), 1);
    }

    floor_plan_reaches_every_host_and_never_reverts: 6, |fleet| {
        fleet.wait_keys_confirmed(Duration::from_millis(1_500), RECOVERY_LIMIT).await;
        let plan = |epoch: u64| json!({
            "domain": "domain-without-hosts", "epoch": epoch, "holders": {}, "awaited": {}, "gone": {},
        });
        fleet.put_object("plan/domain-without-hosts", &plan(5)).await;
        fleet.wait_floor_plan("domain-without-hosts", 5, APPLY_LIMIT).await;
        fleet.replace_object("plan/domain-without-hosts", &plan(4)).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        fleet.wait_floor_plan("domain-without-hosts", 5, Duration::ZERO).await;
    }

    killed_host_is_gone_and_its_successor_is_live: 4, |fleet| {
        fleet.wait_member(0, 2, "Live", RECOVERY_LIMIT).await;
        let before = fleet.incarnation(0, 2);
        fleet.kill(2);
        fleet.wait_member(0, 2, "Gone", RECOVERY_LIMIT).await;
        fleet.restart(2).await;
        fleet.wait_member(0, 2, "Live", RECOVERY_LIMIT).await;
        assert!(fleet.incarnation(0, 2) > before);
    }

    keys_are_confirmed_on_every_host_without_faults: 10, |fleet| {
        fleet.wait_keys_confirmed(Duration::from_millis(1_500), RECOVERY_LIMIT).await;
        let mut worst = Duration::ZERO;
        for _ in 0..60 {
            tokio::time::sleep(Duration::from_millis(100)).await;
            worst = worst.max(fleet.oldest_confirmation());
        }
        assert!(worst < Duration::from_secs(5), "{worst:?}");
    }

    keys_are_confirmed_by_all_members_while_none_reaches_the_store: 4, |fleet| {
        fleet.wait_keys_confirmed(Duration::from_millis(1_500), RECOVERY_LIMIT).await;
        fleet.store.set_faults(store_down());
        tokio::time::sleep(Duration::from_secs(8)).await;
        fleet.wait_keys_confirmed(Duration::from_millis(3_000), RECOVERY_LIMIT).await;
        let source = fleet.host(0).state().freshness.freshness(std::time::Instant::now()).source;
        assert_ne!(&*source, "store");
    }

    keys_are_not_confirmed_by_members_after_one_host_was_lost: 4, |fleet| {
        for (host, member) in [(0, 3), (1, 3), (2, 3)] {
            fleet.wait_member(host, member, "Live", RECOVERY_LIMIT).await;
        }
        fleet.wait_keys_confirmed(Duration::from_millis(1_500), RECOVERY_LIMIT).await;
        fleet.store.set_faults(store_down());
        fleet.kill(3);
        tokio::time::sleep(Duration::from_secs(9)).await;
        assert!(fleet.oldest_confirmation() > Duration::from_secs(6));
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn domain_returns_after_a_long_cut_with_changes_on_both_sides() {
    let fleet = StateFleet::start_on_network(6).await;
    let before = fleet.put_customer(0, "before").await.unwrap();
    fleet.wait_revision(before, APPLY_LIMIT).await;
    fleet.links().cut_domain("domain-1");
    let cut_side_change = fleet.put_customer(1, "far");
    let connected_side_changes = async {
        let mut latest = 0;
        for number in 0..460 {
            latest = fleet.put_customer(0, format!("near-{number}")).await.unwrap();
        }
        latest
    };
    let (cut_side_result, latest) = tokio::join!(cut_side_change, connected_side_changes);
    assert!(cut_side_result.is_err(), "{cut_side_result:?}");
    fleet.wait_object("config/log/00000000000000000002", false, TRIM_LIMIT).await;
    assert_eq!((fleet.revision(1), fleet.revision(4)), (before, before));
    fleet.links().heal();
    fleet.wait_revision(latest, RECOVERY_LIMIT).await;
    let later = fleet.put_until_accepted(4, "after", RECOVERY_LIMIT).await;
    assert_eq!(later, latest + 1);
    fleet.wait_revision(later, APPLY_LIMIT).await;
    for host in fleet.running_hosts() {
        assert_eq!(fleet.customer_count(host), 462);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn keys_are_not_confirmed_in_a_domain_that_is_cut_off() {
    let fleet = StateFleet::start_on_network(6).await;
    fleet.wait_keys_confirmed(Duration::from_millis(2_000), RECOVERY_LIMIT).await;
    fleet.links().cut_domain("domain-1");
    tokio::time::sleep(Duration::from_secs(9)).await;
    let age = |host: usize| fleet.host(host).state().freshness.age(std::time::Instant::now());
    assert!(age(1) > Some(Duration::from_secs(6)), "{:?}", age(1));
    assert!(age(0) < Some(Duration::from_secs(4)), "{:?}", age(0));
    fleet.links().heal();
    fleet.wait_keys_confirmed(Duration::from_millis(2_000), RECOVERY_LIMIT).await;
}
