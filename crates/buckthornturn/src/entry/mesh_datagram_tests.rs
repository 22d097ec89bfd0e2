//! Tests of datagrams of which parts cannot be decoded.

use coordination::fleet::HostPhase;
use serde_json::Value;
use serde_json::json;

use super::MeshDatagram;

fn heartbeat(host: &str) -> Value {
    json!({
        "host": host, "incarnation": 1, "beat": 2, "phase": "serving",
        "failure_domain": "north-a", "region": "north",
        "callers": "127.0.0.1:1", "mesh": "127.0.0.1:2", "capacity": 0.5, "applied": [1, 2, 3],
        "reaches_store": true, "fleet": 3, "demand": {}, "spill": {},
    })
}

fn message(others: &[String], own: &str) -> String {
    let others = others.join(",");
    format!(
        r#"{{"heartbeat":{{"own":{own},"others":[{others}],"seen":[[1,2,"serving"],[1]],"asks":true}}}}"#
    )
}

/// One heartbeat of a third host that cannot be decoded hid the sender and all others that it told of.
#[test]
fn a_heartbeat_that_cannot_be_decoded_hides_only_itself() {
    let mut nowhere = heartbeat("b");
    nowhere["mesh"] = json!("nowhere");
    let half = heartbeat("c").to_string().replace(r#""c""#, r#""\ud800""#);
    let others = [nowhere.to_string(), half, heartbeat("d").to_string()];
    let text = message(&others, &heartbeat("a").to_string());
    let (datagram, left_out) = MeshDatagram::decode(text.as_bytes()).unwrap();
    let MeshDatagram::Heartbeat(message) = datagram else { panic!("not a heartbeat") };
    assert_eq!((&*message.own.host, message.asks, left_out), ("a", true, 3));
    let others: Vec<&str> = message.others.iter().map(|news| &*news.host).collect();
    assert_eq!(others, ["d"]);
    assert_eq!(message.seen[0].phase, HostPhase::Serving);
}

#[test]
fn a_message_without_a_readable_sender_is_an_error() {
    let text = message(&[heartbeat("b").to_string()], r#"{"host":"\ud800"}"#);
    assert!(MeshDatagram::decode(text.as_bytes()).is_err());
    assert!(MeshDatagram::decode(b"{}").is_err());
}
