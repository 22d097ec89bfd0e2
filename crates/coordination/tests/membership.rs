//! Which members count as live, suspect, leaving and gone, and when the store is known to accept no change.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use coordination::heartbeat::Heartbeat;
use coordination::listed_host::ListedHost;
use coordination::member_table::HeartbeatTime;
use coordination::member_table::MAX_FOREIGN_MEMBERS;
use coordination::member_table::MemberTable;
use coordination::member_table::TableSettings;
use coordination::member_view::MemberHealth;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
const SUSPICION_GRACE: Duration = Duration::from_millis(1_500);
const LONG_SILENCE: Duration = Duration::from_secs(20);

struct TableModel {
    table: MemberTable,
    now: Instant,
}

impl TableModel {
    fn new() -> Self {
        let table = MemberTable::new(TableSettings {
            host: "own".into(),
            failure_domain: "near".into(),
            heartbeat_interval: HEARTBEAT_INTERVAL,
            suspicion_grace: SUSPICION_GRACE,
        });
        Self { table, now: Instant::now() }
    }

    fn advance_time(&mut self, time: Duration) {
        self.now += time;
        self.table.tick(self.now);
    }

    fn hear(&mut self, heartbeat: Heartbeat) -> bool {
        self.hear_at(heartbeat, self.now, None)
    }

    /// Receives a heartbeat as the reply to a request that was sent just now.
    fn hear_answer(&mut self, heartbeat: Heartbeat) -> bool {
        self.hear_at(heartbeat, self.now, Some(self.now))
    }

    fn hear_at(
        &mut self,
        heartbeat: Heartbeat,
        sent_at: Instant,
        sent_after: Option<Instant>,
    ) -> bool {
        self.table.apply_heartbeat(heartbeat, HeartbeatTime { sent_at, sent_after }, self.now)
    }

    fn apply_list(&mut self, hosts: &[&str]) {
        let rows: Vec<_> = hosts.iter().map(|host| row(host, false)).collect();
        self.table.apply_host_list(&rows, None, self.now);
    }

    fn health(&self, host: &str) -> Option<MemberHealth> {
        self.table.view(self.now).member(host).map(|member| member.health)
    }
}

fn heartbeat(host: &str, incarnation: u64) -> Heartbeat {
    Heartbeat {
        host: host.into(),
        incarnation,
        failure_domain: "near".into(),
        region: "region".into(),
        callers: SocketAddr::from(([127, 0, 0, 1], 1)),
        mesh: SocketAddr::from(([127, 0, 0, 1], 2)),
        revision: 5,
        leaving: false,
        confirmation_age: Some(Duration::ZERO),
        store_reached: true,
        plan_shrunk: 0,
        plan_digest: 0,
    }
}

fn cut_off(host: &str) -> Heartbeat {
    Heartbeat { store_reached: false, ..heartbeat(host, 1) }
}

fn row(host: &str, leaving: bool) -> ListedHost {
    ListedHost {
        host: host.into(),
        failure_domain: "near".into(),
        region: "region".into(),
        mesh: SocketAddr::from(([127, 0, 0, 1], 2)),
        leaving,
    }
}

macro_rules! membership {
    ($($name:ident: |$model:ident| $body:block)*) => {$(
        #[test]
        fn $name() {
            let mut $model = TableModel::new();
            $body
        }
    )*};
}

membership! {
    silence_alone_is_suspect_and_never_gone: |model| {
        model.hear(heartbeat("other", 1));
        assert_eq!(model.health("other"), Some(MemberHealth::Live));
        model.advance_time(LONG_SILENCE);
        assert_eq!(model.health("other"), Some(MemberHealth::Suspect));
        model.advance_time(Duration::from_secs(500));
        assert_eq!(model.health("other"), Some(MemberHealth::Suspect));
    }

    one_late_heartbeat_does_not_end_a_suspicion: |model| {
        model.hear(heartbeat("other", 1));
        model.advance_time(LONG_SILENCE);
        for expected in [MemberHealth::Suspect, MemberHealth::Suspect, MemberHealth::Live] {
            model.advance_time(HEARTBEAT_INTERVAL);
            model.hear(heartbeat("other", 1));
            assert_eq!(model.health("other"), Some(expected));
        }
    }

    member_suspected_without_cause_is_given_more_time: |model| {
        model.hear(heartbeat("other", 1));
        model.advance_time(Duration::from_secs(3));
        assert_eq!(model.health("other"), Some(MemberHealth::Suspect));
        for _ in 0..3 {
            model.advance_time(HEARTBEAT_INTERVAL);
            model.hear(heartbeat("other", 1));
        }
        model.advance_time(Duration::from_secs(3));
        assert_eq!(model.health("other"), Some(MemberHealth::Live));
    }

    refused_connection_proves_that_the_process_is_gone: |model| {
        model.hear(heartbeat("other", 1));
        model.table.record_refused_connection("other", 1, model.now);
        assert_eq!(model.health("other"), Some(MemberHealth::Gone));
    }

    refused_connection_proves_nothing_about_a_later_start: |model| {
        model.hear(heartbeat("other", 2));
        model.table.record_refused_connection("other", 1, model.now);
        assert_eq!(model.health("other"), Some(MemberHealth::Live));
    }

    refused_connection_before_an_answer_proves_nothing: |model| {
        let started = model.now;
        model.advance_time(HEARTBEAT_INTERVAL);
        model.hear_answer(heartbeat("other", 1));
        model.table.record_refused_connection("other", 1, started);
        assert_eq!(model.health("other"), Some(MemberHealth::Live));
    }

    late_message_does_not_revive_the_gone: |model| {
        model.hear(heartbeat("other", 1));
        model.table.record_refused_connection("other", 1, model.now);
        model.advance_time(HEARTBEAT_INTERVAL);
        model.hear(heartbeat("other", 1));
        assert_eq!(model.health("other"), Some(MemberHealth::Gone));
    }

    later_start_takes_the_place_of_the_gone: |model| {
        model.hear(heartbeat("other", 1));
        model.table.record_refused_connection("other", 1, model.now);
        model.hear(heartbeat("other", 2));
        assert_eq!(model.health("other"), Some(MemberHealth::Live));
        assert!(!model.hear(heartbeat("other", 1)));
        assert_eq!(model.table.view(model.now).members[0].incarnation, 2);
    }

    host_not_yet_listed_is_not_gone: |model| {
        model.hear(heartbeat("other", 1));
        for _ in 0..5 {
            model.advance_time(LONG_SILENCE);
            model.apply_list(&[]);
        }
        assert_eq!(model.health("other"), Some(MemberHealth::Suspect));
    }

    silent_host_dropped_from_the_list_is_gone: |model| {
        model.hear(heartbeat("other", 1));
        model.apply_list(&["other"]);
        model.advance_time(LONG_SILENCE);
        model.apply_list(&[]);
        assert_eq!(model.health("other"), Some(MemberHealth::Suspect));
        model.apply_list(&[]);
        assert_eq!(model.health("other"), Some(MemberHealth::Gone));
    }

    host_dropped_from_the_list_but_heard_is_leaving: |model| {
        model.hear(heartbeat("other", 1));
        model.apply_list(&["other"]);
        model.apply_list(&[]);
        model.apply_list(&[]);
        assert_eq!(model.health("other"), Some(MemberHealth::Leaving));
    }

    list_of_another_domain_drops_nobody_here: |model| {
        model.hear(heartbeat("other", 1));
        model.apply_list(&["other"]);
        model.advance_time(LONG_SILENCE);
        for _ in 0..3 {
            model.table.apply_host_list(&[], Some("far"), model.now);
        }
        assert_eq!(model.health("other"), Some(MemberHealth::Suspect));
    }

    listed_host_is_known_before_it_is_heard: |model| {
        model.apply_list(&["other"]);
        assert_eq!(model.health("other"), Some(MemberHealth::Suspect));
        assert_eq!(model.table.next_peers(true).len(), 1);
    }

    leaving_is_announced_and_stays: |model| {
        model.hear(Heartbeat { leaving: true, ..heartbeat("other", 1) });
        model.advance_time(HEARTBEAT_INTERVAL);
        model.hear(heartbeat("other", 1));
        assert_eq!(model.health("other"), Some(MemberHealth::Leaving));
    }

    crossed_messages_do_not_take_back_revision_or_plan: |model| {
        let later = Heartbeat { revision: 9, plan_shrunk: 4, ..heartbeat("other", 1) };
        model.hear(later);
        model.advance_time(HEARTBEAT_INTERVAL);
        let earlier = Heartbeat { revision: 7, plan_shrunk: 2, ..heartbeat("other", 1) };
        model.hear(earlier);
        let entry = model.table.view(model.now).members[0].clone();
        assert_eq!((entry.revision, entry.plan_shrunk), (9, 4));
    }

    suspect_relay_is_replaced: |model| {
        for host in ["a", "b", "c", "d"] {
            model.hear(heartbeat(host, 1));
        }
        let before = model.table.relays("near");
        let Some(lost) = before.iter().find(|host| &***host != "own").cloned() else { return };
        for host in ["a", "b", "c", "d"].into_iter().filter(|host| **host != *lost) {
            model.hear_at(heartbeat(host, 1), model.now + LONG_SILENCE, None);
        }
        for _ in 0..4 {
            model.advance_time(Duration::from_secs(1));
            for host in ["a", "b", "c", "d"].into_iter().filter(|host| **host != *lost) {
                model.hear(heartbeat(host, 1));
            }
        }
        let after = model.table.relays("near");
        assert!(!after.contains(&lost), "{before:?} {after:?}");
        assert_eq!(after.len(), 2);
    }

    members_of_other_domains_are_bounded: |model| {
        for number in 0..100 {
            let foreign = heartbeat(&format!("host-{number}"), 1);
            model.hear(Heartbeat { failure_domain: "far".into(), ..foreign });
        }
        assert_eq!(model.table.view(model.now).members.len(), MAX_FOREIGN_MEMBERS);
    }

    between_domains_calls_are_rarer_unless_urgent: |model| {
        for host in ["a", "b"] {
            model.hear(Heartbeat { failure_domain: "far".into(), ..heartbeat(host, 1) });
        }
        let mut count = |urgent| (0..20).map(|_| model.table.next_peers(urgent).len()).sum::<usize>();
        assert_eq!((count(false), count(true)), (9, 18));
    }

    every_listed_host_of_another_domain_is_called_in_the_end: |model| {
        let far = |number: usize| ListedHost {
            failure_domain: "far".into(), ..row(&format!("host-{number}"), false)
        };
        let rows: Vec<_> = (0..5).map(far).collect();
        model.table.apply_host_list(&rows, None, model.now);
        let mut called = Vec::new();
        for _ in 0..80 {
            called.extend(model.table.next_peers(true).into_iter().map(|(host, _, _)| host));
        }
        assert!(rows.iter().all(|row| called.contains(&row.host)), "{called:?}");
    }

    a_listed_host_that_was_never_heard_is_called_at_each_beat: |model| {
        let far = |host: &str| ListedHost { failure_domain: "far".into(), ..row(host, false) };
        model.table.apply_host_list(&[far("heard"), far("new"), far("newer")], None, model.now);
        model.hear(Heartbeat { failure_domain: "far".into(), ..heartbeat("heard", 1) });
        let called: Vec<_> = (0..2)
            .filter_map(|_| model.table.unheard_peer(model.now).map(|(host, _, _)| host))
            .collect();
        assert!(called.len() == 2 && !called.contains(&"heard".into()), "{called:?}");
        assert_ne!(called[0], called[1]);
        model.advance_time(Duration::from_secs(31));
        assert_eq!(model.table.unheard_peer(model.now), None);
    }

    cut_off_is_concluded_when_all_say_so: |model| {
        let confirmed = model.now;
        model.advance_time(HEARTBEAT_INTERVAL);
        model.hear_answer(cut_off("a"));
        model.hear_answer(cut_off("b"));
        assert_eq!(model.table.cut_off_since(5, confirmed), Some(model.now));
    }

    cut_off_is_not_concluded_while_one_reaches_the_store: |model| {
        let confirmed = model.now;
        model.advance_time(HEARTBEAT_INTERVAL);
        model.hear_answer(cut_off("a"));
        model.hear_answer(heartbeat("b", 1));
        assert_eq!(model.table.cut_off_since(5, confirmed), None);
    }

    cut_off_is_not_concluded_from_a_request_that_may_be_old: |model| {
        let confirmed = model.now;
        model.advance_time(HEARTBEAT_INTERVAL);
        model.hear(cut_off("a"));
        assert_eq!(model.table.cut_off_since(5, confirmed), None);
    }

    cut_off_is_not_concluded_while_a_listed_host_is_not_heard: |model| {
        let confirmed = model.now;
        model.apply_list(&["a", "b"]);
        model.advance_time(HEARTBEAT_INTERVAL);
        model.hear_answer(cut_off("a"));
        assert_eq!(model.table.cut_off_since(5, confirmed), None);
    }

    cut_off_is_not_concluded_while_one_has_a_later_revision: |model| {
        let confirmed = model.now;
        model.advance_time(HEARTBEAT_INTERVAL);
        model.hear_answer(cut_off("a"));
        assert_eq!(model.table.cut_off_since(4, confirmed), None);
    }

    cut_off_is_not_concluded_after_a_host_was_lost: |model| {
        let confirmed = model.now;
        model.advance_time(HEARTBEAT_INTERVAL);
        model.hear_answer(cut_off("a"));
        model.hear_answer(cut_off("b"));
        model.table.record_refused_connection("b", 1, model.now + HEARTBEAT_INTERVAL);
        assert_eq!(model.table.cut_off_since(5, confirmed), None);
    }

    cut_off_is_not_concluded_after_a_host_was_restarted: |model| {
        let confirmed = model.now;
        model.advance_time(HEARTBEAT_INTERVAL);
        model.hear_answer(cut_off("a"));
        model.hear_answer(Heartbeat { incarnation: 2, ..cut_off("a") });
        assert_eq!(model.table.cut_off_since(5, confirmed), None);
    }
}
