//! Entries of the store that cannot be decoded, beside others that can.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use buckthornturn::entry::KeepaliveDialer;
use buckthornturn::interface::ArchivedCrashes;
use buckthornturn::interface::CrashArchive;
use buckthornturn::interface::StateBatch;
use buckthornturn::interface::StateChange;
use buckthornturn::interface::StatePart;
use buckthornturn::interface::StateSource;
use buckthornturn::platform::StoreSource;
use bytes::Bytes;
use coordination::fleet::CrashReport;
use coordination::fleet::RequestFingerprint;
use indexmap::IndexMap;
use serde_json::Value;
use serde_json::json;
use standin::platform::PlatformStore;
use standin::platform::RawObject;

use crate::entry_fleet::CallerRequest;
use crate::entry_fleet::EntryFleet;
use crate::entry_fleet::configuration;
use crate::entry_fleet::get;

/// Longest time until a change is in force: the lowest of the platform's bounds.
const APPLY_BOUND: Duration = Duration::from_secs(2);
/// JSON text that no decoder of whole characters accepts.
const HALF_OF_A_PAIR: &[u8] = br#""\ud800""#;

fn target_entry(domain: &str) -> Value {
    json!({
        "address": "127.0.0.1:1",
        "info": { "backend_service": "pages", "zone": domain, "slots": 2 },
        "status": { "state": "ready", "cold_remaining_ms": 0 },
    })
}

/// An otherwise valid entry of a target with this text as the value of one more field.
fn noted_entry(note: &[u8]) -> Bytes {
    let entry = target_entry("north-a").to_string();
    let head = entry.strip_suffix('}').unwrap().as_bytes();
    [head, b",\"note\":", note, b"}"].concat().into()
}

fn source(store: &PlatformStore) -> StoreSource {
    let domains = IndexMap::from([("north-a".into(), "north".into())]);
    StoreSource::new(store.address(), domains, Arc::new(KeepaliveDialer))
}

async fn changes_after(source: &StoreSource, part: StatePart, batch: &StateBatch) -> StateBatch {
    source.watch(part, batch.version(), Duration::from_secs(1)).await.unwrap()
}

/// Names of the targets in a batch that may get requests.
fn target_names(batch: &StateBatch) -> Vec<&str> {
    let targets = batch.changes.iter().filter_map(|change| match change {
        StateChange::Target(entry) => Some(&*entry.target),
        _ => None,
    });
    targets.collect()
}

macro_rules! unreadable_entries {
    ($($(#[$attribute:meta])* $name:ident: $note:expr;)*) => {
        $($(#[$attribute])* #[tokio::test] async fn $name() {
            check_entry($note.as_ref()).await;
        })*
    };
}

unreadable_entries! {
    /// Each of these made lists and watches unreadable, so that hosts sent requests to targets that drained.
    half_of_a_surrogate_pair_hides_only_its_entry: HALF_OF_A_PAIR;
    bytes_that_are_not_utf_8_hide_only_their_entry: b"\"\xff\xfe\"";
    a_number_beyond_a_double_hides_only_its_entry: b"1e400";
    deep_nesting_hides_only_its_entry: [vec![b'['; 100_000], vec![b']'; 100_000]].concat();
    text_that_is_no_json_value_hides_only_its_entry: b"nothing";
}

/// Entries of the wrong type and with much text, which the decoder of the body accepts.
#[tokio::test]
async fn a_body_of_the_wrong_type_hides_only_its_entry() {
    check_body(Bytes::from_static(b"[7]")).await;
    let long = json!({ "address": "x".repeat(1 << 20) });
    check_body(long.to_string().into()).await;
}

async fn check_entry(note: &[u8]) {
    check_body(noted_entry(note)).await;
}

async fn check_body(body: Bytes) {
    let store = PlatformStore::start().await.unwrap();
    let source = source(&store);
    // Enough entries for two pages with the unreadable one within the first.
    for name in ["a", "c", "d", "e"] {
        store.put("servers", name, target_entry("north-a"));
    }
    let known = source.read(StatePart::Targets).await.unwrap();
    store.put_raw("servers", "b", body);
    let revision = store.put("servers", "f", target_entry("north-a"));
    let batch = changes_after(&source, StatePart::Targets, &known).await;
    let expected = [
        StateChange::TargetGone("b".into()),
        StateChange::Target(batch.changes.iter().rev().find_map(as_target).unwrap()),
    ];
    assert_eq!((batch.revision, batch.latest, batch.unreadable), (revision, revision, 1));
    assert_eq!(batch.changes, expected);
    let listed = source.read(StatePart::Targets).await.unwrap();
    assert_eq!(target_names(&listed), ["a", "c", "d", "e", "f"]);
    assert_eq!(listed.unreadable, 0, "the same version was reported twice");
}

fn as_target(change: &StateChange) -> Option<coordination::fleet::TargetEntry> {
    match change {
        StateChange::Target(entry) => Some(entry.clone()),
        _ => None,
    }
}

#[tokio::test]
async fn entries_without_a_readable_name_or_revision_are_skipped() {
    let store = PlatformStore::start().await.unwrap();
    let source = source(&store);
    let spec = Bytes::from(target_entry("north-a").to_string());
    let nameless =
        RawObject { name: HALF_OF_A_PAIR.into(), revision: "2".into(), spec: spec.clone() };
    let without_revision = RawObject { name: "\"d\"".into(), revision: "\"x\"".into(), spec };
    store.put("servers", "a", target_entry("north-a"));
    store.put("servers", "b", target_entry("north-a"));
    // The last entry of the first page has no name from which the next page could be requested.
    store.put_object("servers", "c", nameless);
    store.put_object("servers", "d", without_revision);
    store.put("servers", "e", target_entry("north-a"));
    let batch = source.read(StatePart::Targets).await.unwrap();
    assert_eq!(target_names(&batch), ["a", "b", "e"]);
    assert_eq!(batch.unreadable, 2);
    assert_eq!(batch.revision, 5);
}

#[tokio::test]
async fn a_removal_with_an_unreadable_body_removes_its_entry() {
    let store = PlatformStore::start().await.unwrap();
    let source = source(&store);
    for (kind, name) in [("servers", "a"), ("evacuations", "north-a")] {
        store.put_raw(kind, name, HALF_OF_A_PAIR);
    }
    let targets = source.read(StatePart::Targets).await.unwrap();
    let domains = source.read(StatePart::ClosedDomains).await.unwrap();
    // What the entry says does not matter for a domain that is closed.
    assert_eq!(domains.changes, [StateChange::DomainClosed("north-a".into())]);
    store.remove("servers", "a");
    store.remove("evacuations", "north-a");
    let batch = changes_after(&source, StatePart::Targets, &targets).await;
    assert_eq!(batch.changes, [StateChange::TargetGone("a".into())]);
    let batch = changes_after(&source, StatePart::ClosedDomains, &domains).await;
    assert_eq!(batch.changes, [StateChange::DomainOpened("north-a".into())]);
}

#[tokio::test]
async fn an_unreadable_refused_request_hides_only_itself() {
    let store = PlatformStore::start().await.unwrap();
    let source = source(&store);
    let fingerprint = RequestFingerprint { head: 1, body: 2 };
    let (crashes, trials) = (vec![(1, 2), (3, 4), (5, 6)], 1);
    let report = CrashReport { fingerprint, crashes, trials, tried_ms: None, answered_ms: None };
    let archived = ArchivedCrashes { report, recorded_at: std::time::UNIX_EPOCH };
    store.put_raw("crashing-requests", "0", HALF_OF_A_PAIR);
    source.save(archived.clone()).await.unwrap();
    store.put_raw("crashing-requests", "z", "{\"report\":1e400}");
    let loaded = source.load().await.unwrap();
    assert_eq!((loaded.archived, loaded.unreadable), (vec![archived], 2));
}

/// A host took the revision of the unreadable object for that of the configuration in force, so that a host that started read
/// none from it.
#[tokio::test]
async fn a_host_that_starts_reads_the_configuration_in_force_from_another() {
    let mut fleet = EntryFleet::start(1, 1).await;
    fleet.store.put_raw("config", "main", HALF_OF_A_PAIR);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(fleet.send_request(0, CallerRequest::page()).await.status(), 200);
    fleet.start_host(1, fleet.store.address()).await;
    fleet.wait_until("the host is ready", async || fleet.is_ready(1).await).await;
    assert_eq!(fleet.send_request(1, CallerRequest::page()).await.status(), 200);
    fleet.store.put("config", "main", configuration("00000002", &["key-2"], 1_000.0));
    let acknowledged_at = Instant::now();
    for host in 0..2 {
        let is_applied =
            async || fleet.send_request(host, CallerRequest::page()).await.status() == 401;
        fleet.wait_until("the key is withdrawn", is_applied).await;
    }
    assert!(acknowledged_at.elapsed() < APPLY_BOUND);
}

#[tokio::test]
async fn a_target_that_drains_beside_an_unreadable_entry_gets_no_requests() {
    let mut fleet = EntryFleet::start(1, 2).await;
    fleet.store.put_raw("servers", "x-other", noted_entry(HALF_OF_A_PAIR));
    fleet.store.put_raw("evacuations", "south-a", HALF_OF_A_PAIR);
    let mut draining = fleet.targets[0].entry("pages", "north-a");
    draining["status"]["state"] = json!("draining");
    fleet.store.put("servers", "i-0", draining);
    let acknowledged_at = Instant::now();
    let accepts = async || fleet.hosts[0].state().lock().board.accepts_requests("i-0");
    fleet.wait_until("the target drains", async || !accepts().await).await;
    assert!(acknowledged_at.elapsed() < APPLY_BOUND);
    fleet.start_host(1, fleet.store.address()).await;
    fleet.wait_until("the host is ready", async || fleet.is_ready(1).await).await;
    assert_eq!(fleet.send_request(1, CallerRequest::page()).await.status(), 200);
    let peer_state = get(fleet.ports[0].mesh, "/state/targets").await;
    let batch: StateBatch = serde_json::from_slice(peer_state.body()).unwrap();
    assert_eq!(target_names(&batch), ["i-0", "i-1"]);
}

macro_rules! page_names {
    ($($name:ident: $last:literal;)*) => {
        $(
            /// The name of the last entry of a page went into the request of the next one as it is.
            #[tokio::test]
            async fn $name() {
                check_page_end($last).await;
            }
        )*
    };
}

page_names! {
    a_page_may_end_with_a_space_in_a_name: "!c d";
    a_page_may_end_with_an_ampersand_in_a_name: "&watch=1";
    a_page_may_end_with_a_number_sign_in_a_name: "#d";
    a_page_may_end_with_a_plus_sign_in_a_name: "+d";
    a_page_may_end_with_a_percent_sign_in_a_name: "%7E";
    a_page_may_end_with_a_letter_beyond_ascii_in_a_name: "!cé";
}

async fn check_page_end(last: &str) {
    let store = PlatformStore::start().await.unwrap();
    for name in ["!a", "!b", last, "d", "e"] {
        store.put("servers", name, target_entry("north-a"));
    }
    let batch = source(&store).read(StatePart::Targets).await.unwrap();
    assert_eq!(target_names(&batch), ["!a", "!b", last, "d", "e"]);
}
