//! Budget of the connections and bytes of a process: what is admitted and what is evicted.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use coordination::admission_bounds::AdmissionBounds;
use coordination::admission_bounds::ByteUse;
use coordination::admission_bounds::ConnectionRole;
use coordination::admission_budget::AdmissionBudget;
use coordination::admission_budget::AdmissionRefusal;
use coordination::admission_budget::EvictionSignal;
use coordination::byte_reservation::ByteReservation;
use coordination::connection_reservation::ConnectionReservation;
use coordination::peer_wait::Direction;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::proptest;

const BOUNDS: AdmissionBounds = AdmissionBounds { connections: 64, closing: 4, bytes: 10_000 };

/// Signal that a test reads.
#[derive(Default)]
struct TestSignal(AtomicBool);

impl EvictionSignal for TestSignal {
    fn evict(&self) {
        assert!(!self.0.swap(true, Ordering::Relaxed), "evicted twice");
    }
}

/// Connection with its signal.
struct TestConnection {
    reservation: ConnectionReservation,
    signal: Arc<TestSignal>,
}

impl TestConnection {
    fn is_evicted(&self) -> bool {
        self.signal.0.load(Ordering::Relaxed)
    }
}

fn admit(
    budget: &Arc<AdmissionBudget>,
    role: ConnectionRole,
    now: Instant,
) -> Result<TestConnection, AdmissionRefusal> {
    let signal = Arc::<TestSignal>::default();
    let reservation = budget.admit(role, Arc::clone(&signal) as Arc<dyn EvictionSignal>, now)?;
    Ok(TestConnection { reservation, signal })
}

fn after(start: Instant, milliseconds: u64) -> Instant {
    start + Duration::from_millis(milliseconds)
}

/// Each case: what connections do, in order of their admission, and the place of the one that is evicted for the next.
macro_rules! evictions {
    ($($name:ident: $connections:expr => $evicted:expr;)*) => {
        $(#[test] fn $name() {
            let budget = Arc::new(AdmissionBudget::new(BOUNDS));
            let start = Instant::now();
            let cap = BOUNDS.max_connections(ConnectionRole::Mesh);
            let mut connections = Vec::new();
            for place in 0..cap {
                let connection = admit(&budget, ConnectionRole::Mesh, after(start, place as u64)).unwrap();
                let activity = $connections.get(place).copied().unwrap_or(Activity::Runs);
                activity.play(&connection, after(start, 1_000));
                connections.push(connection);
            }
            let next = admit(&budget, ConnectionRole::Mesh, after(start, 5_000));
            let evicted = connections.iter().position(TestConnection::is_evicted);
            assert_eq!((evicted, next.err()), $evicted);
        })*
    };
}

#[derive(Clone, Copy)]
enum Activity {
    /// Its request runs.
    Runs,
    /// It has sent nothing since it was opened.
    SentNothing,
    /// Its answer was taken, and no further request came.
    IsIdle,
    /// It sends a body with so many bytes so far.
    Sends(usize),
    /// It sends a body that the host does not read at the moment.
    IsNotRead,
    /// It takes nothing of its answer.
    TakesNothing,
}

impl Activity {
    fn play(self, connection: &TestConnection, now: Instant) {
        let wait = connection.reservation.wait_record();
        match self {
            Self::Runs => wait.start_message(false, now),
            Self::SentNothing => {}
            Self::IsIdle => wait.start_message(true, now),
            Self::Sends(bytes) => {
                wait.start_message(true, now);
                wait.record_bytes(Direction::Read, bytes, now);
                wait.record_pending(Direction::Read, now);
            }
            Self::IsNotRead => {
                wait.start_message(true, now);
                wait.record_bytes(Direction::Read, 1, now);
            }
            Self::TakesNothing => {
                wait.start_message(false, now);
                wait.record_pending(Direction::Write, now);
            }
        }
    }
}

use Activity::IsIdle;
use Activity::IsNotRead;
use Activity::Runs;
use Activity::Sends;
use Activity::SentNothing;
use Activity::TakesNothing;

evictions! {
    the_oldest_that_sent_nothing_is_evicted: [Runs, SentNothing, SentNothing] => (Some(1), None);
    an_idle_one_is_evicted_after_one_that_never_sent: [IsIdle, SentNothing] => (Some(1), None);
    a_slow_sender_is_evicted_before_a_fast_one: [Sends(50_000), Sends(500)] => (Some(1), None);
    one_that_takes_nothing_is_evicted: [Sends(50_000), TakesNothing] => (Some(1), None);
    a_sender_that_the_host_does_not_read_is_kept: [IsNotRead, IsIdle] => (Some(1), None);
    none_is_evicted_while_all_run: [IsNotRead, Runs] => (None, Some(AdmissionRefusal::AllBusy));
}

#[test]
fn a_crowd_on_one_listener_leaves_the_shares_of_the_others() {
    let budget = Arc::new(AdmissionBudget::new(BOUNDS));
    let start = Instant::now();
    let mut crowd = Vec::new();
    for place in 0..300 {
        crowd.extend(admit(&budget, ConnectionRole::Caller, after(start, place)));
        crowd.retain(|connection| !connection.is_evicted());
    }
    for role in ConnectionRole::ALL {
        let mut admitted = Vec::new();
        for _ in 0..BOUNDS.assured_connections(role) {
            admitted.extend(admit(&budget, role, after(start, 400)));
            crowd.retain(|connection| !connection.is_evicted());
        }
        assert_eq!(admitted.len(), BOUNDS.assured_connections(role), "{role:?}");
    }
}

/// The smallest machines and the limits that the tests of the program set.
macro_rules! limits {
    ($($name:ident: $memory:expr, $descriptors:expr => at least $connections:expr, $bytes:expr;)*) => {
        $(#[test] fn $name() {
            let bounds = AdmissionBounds::from_limits($memory, $descriptors);
            assert!(bounds.connections >= $connections && bounds.bytes >= $bytes, "{bounds:?}");
            if let Some(descriptors) = $descriptors {
                assert!(bounds.connections + bounds.closing + 200 < descriptors as usize, "{bounds:?}");
            }
        })*
    };
}

limits! {
    limits_that_are_not_stated_keep_the_defaults: None::<u64>, None::<u64> => at least 16_384, usize::MAX;
    the_smallest_machine_has_room_for_callers_and_uploads: Some(112), Some(2_870) => at least 2_000, 19 << 20;
    a_large_machine_is_bounded_by_its_descriptors: Some(512), Some(8_192) => at least 7_800, 100 << 20;
    a_tiny_limit_leaves_some_room: Some(8), Some(600_u64) => at least 64, 2 << 20;
}

proptest! {
    /// Steps of many connections: each admits one of a role, or makes one run, wait or end.
    #[test]
    fn connections_never_exceed_the_budget_and_idle_ones_make_room(
        steps in prop::collection::vec((0_usize..6, 0_u8..5, any::<prop::sample::Index>()), 0..400)
    ) {
        let budget = Arc::new(AdmissionBudget::new(BOUNDS));
        let start = Instant::now();
        let mut connections: Vec<(TestConnection, ConnectionRole, bool)> = Vec::new();
        for (time, (role, action, place)) in steps.into_iter().enumerate() {
            let now = after(start, time as u64);
            let role = ConnectionRole::ALL[role];
            match action {
                0..=2 => {
                    let has_idle_caller = connections.iter().any(|(connection, of, is_idle)| {
                        *of == role && role.is_evictable() && *is_idle && !connection.is_evicted()
                    });
                    match admit(&budget, role, now) {
                        Ok(connection) => connections.push((connection, role, true)),
                        Err(AdmissionRefusal::AllBusy) => assert!(!has_idle_caller),
                        Err(AdmissionRefusal::StillClosing) => {
                            let closing = connections.iter().filter(|entry| entry.0.is_evicted()).count();
                            assert_eq!(closing, BOUNDS.closing);
                        }
                    }
                }
                3 if !connections.is_empty() => {
                    let entry = place.get(&connections);
                    entry.0.reservation.wait_record().start_message(!entry.2, now);
                    let place = place.index(connections.len());
                    connections[place].2 = !connections[place].2;
                }
                4 if !connections.is_empty() => drop(connections.swap_remove(place.index(connections.len()))),
                _ => {}
            }
            let open = |role| budget.open_connections(role);
            assert!(ConnectionRole::ALL.into_iter().map(open).sum::<usize>() <= BOUNDS.connections);
            assert!(budget.all_connections() <= BOUNDS.connections + BOUNDS.closing);
            assert_eq!(budget.all_connections(), connections.len());
        }
        drop(connections);
        assert_eq!(budget.all_connections(), 0);
    }

    /// While evicted connections close, an ordinary caller among a crowd of idle ones is admitted at its first attempt.
    #[test]
    fn an_ordinary_caller_is_admitted_beside_any_idle_crowd(
        roles in prop::collection::vec(0_usize..5, 0..500)
    ) {
        let budget = Arc::new(AdmissionBudget::new(BOUNDS));
        let start = Instant::now();
        let mut crowd: Vec<TestConnection> = Vec::new();
        for (time, role) in roles.into_iter().enumerate() {
            crowd.extend(admit(&budget, ConnectionRole::ALL[role], after(start, time as u64)));
            crowd.retain(|connection| !connection.is_evicted());
            let now = after(start, time as u64);
            assert!(admit(&budget, ConnectionRole::Caller, now).is_ok());
            crowd.retain(|connection| !connection.is_evicted());
        }
    }

    /// Steps of many buffers: each grows one, or drops it.
    #[test]
    fn bytes_never_exceed_the_budget(
        steps in prop::collection::vec((0_usize..20, 0_usize..2_000, any::<bool>(), any::<bool>()), 0..300)
    ) {
        let budget = Arc::new(AdmissionBudget::new(BOUNDS));
        let mut buffers: Vec<ByteReservation> = (0..20).map(|_| budget.reserve()).collect();
        for (place, bytes, is_needed, is_end) in steps {
            let byte_use = if is_needed { ByteUse::Needed } else { ByteUse::Optional };
            match is_end {
                true => buffers[place] = budget.reserve(),
                false => {
                    let used = budget.used_bytes();
                    let is_taken = buffers[place].grow(bytes, byte_use);
                    assert!(is_taken || used + bytes > BOUNDS.bytes / 4 * 3);
                    assert!(is_taken || !is_needed || used + bytes > BOUNDS.bytes);
                }
            }
            assert!(budget.used_bytes() <= BOUNDS.bytes);
            assert_eq!(budget.used_bytes(), buffers.iter().map(ByteReservation::bytes).sum::<usize>());
        }
        drop(buffers);
        assert_eq!(budget.used_bytes(), 0);
    }
}

#[test]
fn the_slowest_connection_is_evicted_once_needed_bytes_run_short() {
    let budget = Arc::new(AdmissionBudget::new(BOUNDS));
    let start = Instant::now();
    let slow = admit(&budget, ConnectionRole::Caller, start).unwrap();
    let running = admit(&budget, ConnectionRole::Caller, after(start, 10)).unwrap();
    running.reservation.wait_record().start_message(false, after(start, 10));
    let mut buffer = budget.reserve();
    assert!(buffer.grow(BOUNDS.bytes / 4 * 3, ByteUse::Optional));
    assert!(!budget.reserve().grow(1, ByteUse::Optional) && !slow.is_evicted());
    assert!(budget.reserve().grow(1, ByteUse::Needed) && slow.is_evicted());
    assert!(!running.is_evicted());
    assert_eq!(budget.counts().evicted_for_bytes, 1);
}
