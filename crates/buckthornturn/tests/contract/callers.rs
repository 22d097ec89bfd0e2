//! The contract with callers: look-ups, refusals, tickets and idempotency keys.

use serde_json::Value;

use crate::deployment::Answer;
use crate::deployment::Deployment;

fn json_body(answer: &Answer) -> Value {
    serde_json::from_str(&answer.body)
        .unwrap_or_else(|_| panic!("{}\n{}", answer.head, answer.body))
}

fn assert_refused(answer: &Answer, status: u16, outcome: &str) {
    assert_eq!(answer.status, status, "{}\n{}", answer.head, answer.body);
    assert!(answer.head.contains("content-type: application/problem+json"), "{}", answer.head);
    let line = format!("buckthornturn-outcome: {outcome}");
    assert!(answer.head.contains(&line), "{}", answer.head);
}

#[test]
fn look_up_returns_hosts_of_two_domains() {
    let deployment = Deployment::start("look-up");
    deployment.apply_configuration();
    let path = "/.well-known/buckthornturn/steer?service=memorial";
    let answer = deployment.wait_for("both hosts", || {
        let answer = json_body(&deployment.send_request(0, "GET", path, &[]));
        (answer["hosts"].as_array()?.len() == 2).then_some(answer)
    });
    let domains: Vec<_> = (0..2).map(|i| answer["hosts"][i]["failure_domain"].clone()).collect();
    assert_ne!(domains[0], domains[1]);
    assert!(answer["ttl_seconds"].as_u64().unwrap() > 0);
    assert_eq!(answer["hosts"][0]["region"], "north");
}

#[test]
fn refusals_are_problem_documents_with_an_outcome() {
    let deployment = Deployment::start("refusals");
    assert_refused(&deployment.send_request(0, "GET", "/open", &[]), 503, "not-run");
    deployment.apply_configuration();
    let (_, key) = deployment.grant_key("slow");
    let bearer = format!("Bearer {key}");
    let keyed = [("authorization", bearer.as_str())];
    assert_refused(&deployment.send_request(0, "GET", "/keyed/1", &[]), 401, "not-run");
    let wrong = [("authorization", "Bearer bt_0_0")];
    assert_refused(&deployment.send_request(0, "GET", "/keyed/1", &wrong), 401, "not-run");
    assert_refused(&deployment.send_request(0, "GET", "/nowhere", &[]), 403, "not-run");
    let other = [("authorization", bearer.as_str()), ("host", "other.example")];
    assert_refused(&deployment.send_request(0, "GET", "/", &other), 403, "not-run");
    let refused = deployment.wait_for("a refusal after the burst", || {
        let answer = deployment.send_request(0, "GET", "/keyed/1", &keyed);
        (answer.status == 429).then_some(answer)
    });
    assert_refused(&refused, 429, "not-run");
    assert!(refused.head.contains("retry-after: "), "{}", refused.head);
}

#[test]
fn a_target_gets_the_customer_and_never_the_key() {
    let deployment = Deployment::start("customer-header");
    deployment.apply_configuration();
    let (_, key) = deployment.grant_key("x");
    let bearer = format!("Bearer {key}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("buckthornturn-customer", "forged"),
        ("x-copy", key.as_str()),
    ];
    let answer = deployment.send_request(0, "GET", &format!("/keyed/1?k={key}"), &headers);
    assert_eq!(answer.status, 200, "{}\n{}", answer.head, answer.body);
    assert_eq!(json_body(&answer)["customer"], "x", "{}", answer.body);
    assert_eq!(deployment.target.counts().keys_seen, 0);
}

#[test]
fn a_ticket_runs_its_request_once_through_any_host() {
    let deployment = Deployment::start("ticket");
    deployment.apply_configuration();
    let (_, key) = deployment.grant_key("x");
    let bearer = format!("Bearer {key}");
    let keyed = [("authorization", bearer.as_str())];
    let path = "/.well-known/buckthornturn/ticket?service=memorial";
    let answer = json_body(&deployment.send_request(0, "POST", path, &keyed));
    assert!(answer["expires_in_seconds"].as_u64().unwrap() > 0, "{answer}");
    let ticket = answer["ticket"].as_str().unwrap().to_owned();
    let headers = [("authorization", bearer.as_str()), ("buckthornturn-ticket", ticket.as_str())];
    let before = deployment.target.counts().executed;
    let first = deployment.wait_for("the issuer to be known at the other host", || {
        let answer = deployment.send_request(1, "POST", "/pay/1", &headers);
        (answer.status == 200).then_some(answer)
    });
    let again = deployment.send_request(0, "POST", "/pay/1", &headers);
    assert_eq!(again.body, first.body, "{}", again.head);
    assert_eq!(deployment.target.counts().executed, before + 1);
    let unkeyed = deployment.send_request(0, "POST", path, &[]);
    assert_refused(&unkeyed, 401, "not-run");
}

#[test]
fn an_idempotency_key_runs_its_request_once() {
    let deployment = Deployment::start("idempotency");
    deployment.apply_configuration();
    let (_, key) = deployment.grant_key("x");
    let bearer = format!("Bearer {key}");
    let headers = [("authorization", bearer.as_str()), ("idempotency-key", "order-7")];
    let before = deployment.target.counts().executed;
    deployment.wait_for("the state of keys to be confirmed", || {
        let answer = deployment.send_request(0, "POST", "/pay/1", &headers);
        (answer.status == 200).then_some(())
    });
    let again = deployment.wait_for("the key and its confirmation at the other host", || {
        let answer = deployment.send_request(1, "POST", "/pay/1", &headers);
        (!answer.head.contains("buckthornturn-outcome: not-run")).then_some(answer)
    });
    assert!(again.status == 200 || again.status == 409, "{}\n{}", again.head, again.body);
    assert_eq!(deployment.target.counts().executed, before + 1);
}

#[test]
fn sigterm_ends_a_host_gracefully() {
    let mut deployment = Deployment::start("sigterm");
    deployment.apply_configuration();
    let id = deployment.hosts[0].child.id().to_string();
    let status = std::process::Command::new("kill").args(["-TERM", &id]).status().unwrap();
    assert!(status.success());
    let ended = deployment.hosts[0].child.wait().unwrap();
    assert_eq!(ended.code(), Some(0));
}
