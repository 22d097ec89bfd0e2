//! The contract with operators: configuration, status, drains, keys, roles and log level.

use std::process::Output;

use serde_json::Value;

use crate::deployment::Deployment;
use crate::deployment::READ_TOKEN;

fn text(output: &Output) -> String {
    String::from_utf8_lossy(&[&output.stdout[..], &output.stderr[..]].concat()).into_owned()
}

fn json(output: &Output) -> Value {
    serde_json::from_slice(&output.stdout).unwrap_or_else(|_| panic!("{}", text(output)))
}

#[test]
fn apply_dry_run_shows_the_difference_and_changes_nothing() {
    let deployment = Deployment::start("dry-run");
    deployment.apply_configuration();
    let before = json(&deployment.run_as_writer(&["status", "--json"], 0))["revision"].clone();
    let changed = deployment.configuration().replace("\"burst\":1000", "\"burst\":900");
    let file = deployment.write_file("changed.jsonc", &changed);
    let output = deployment.run_as_writer(&["apply", &file, "--dry-run"], 0);
    assert!(text(&output).contains("~ customer x"), "{}", text(&output));
    assert!(text(&output).contains("burst: 1000.0 -> 900.0"), "{}", text(&output));
    assert_eq!(json(&deployment.run_as_writer(&["status", "--json"], 0))["revision"], before);
}

#[test]
fn apply_reports_the_position_of_a_broken_reference_and_applies_nothing() {
    let deployment = Deployment::start("broken-reference");
    deployment.apply_configuration();
    let file = deployment.write_file(
        "partial.jsonc",
        "{\"objects\": [\n  {\"kind\": \"assignment\", \"name\": \"o\", \"service\": \"other\", \"profile\": \"none\"}\n]}",
    );
    let output = deployment.run_as_writer(&["apply", &file], 1);
    assert_eq!(output.status.code(), Some(2));
    assert!(
        text(&output).contains("2:70: objects[0].profile: there is no profile `none`"),
        "{}",
        text(&output)
    );
    let output = deployment.run_as_writer(&["get", "assignment", "o"], 0);
    assert_eq!(output.status.code(), Some(1));
}

#[test]
fn apply_of_a_stale_expectation_is_a_conflict() {
    let deployment = Deployment::start("stale-expectation");
    deployment.apply_configuration();
    let file = deployment.write_file("stale.jsonc", &deployment.configuration());
    let output = deployment.run_as_writer(&["apply", &file, "--expect", "0"], 0);
    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output).contains("revision 1 is in force"), "{}", text(&output));
}

#[test]
fn removal_of_a_referenced_object_is_refused() {
    let deployment = Deployment::start("removal");
    deployment.apply_configuration();
    let file = deployment
        .write_file("remove.jsonc", "{\"remove\": [{\"kind\": \"domain\", \"name\": \"a\"}]}");
    let output = deployment.run_as_writer(&["apply", &file], 0);
    assert_eq!(output.status.code(), Some(2));
    assert!(
        text(&output).contains("target `t`: failure_domain: there is no failure domain `a`"),
        "{}",
        text(&output)
    );
}

#[test]
fn get_shows_one_object() {
    let deployment = Deployment::start("get");
    deployment.apply_configuration();
    let customer = json(&deployment.run_as_writer(&["get", "customer", "x", "--json"], 1));
    assert_eq!(customer["rate_per_second"], 1000.0);
    let customers = json(&deployment.run_as_writer(&["get", "customer", "--json"], 1));
    assert_eq!(customers.as_object().unwrap().len(), 2);
}

#[test]
fn status_lists_revision_and_members() {
    let deployment = Deployment::start("status");
    deployment.apply_configuration();
    deployment.wait_for("both members", || {
        let status = json(&deployment.run_as_writer(&["status", "--json"], 0));
        let members = status["members"].as_array()?;
        assert_eq!(status["revision"], 1);
        (members.iter().filter(|member| member["health"] == "live").count() == 2).then_some(())
    });
}

#[test]
fn status_lists_the_budgets_of_a_host() {
    let deployment = Deployment::start("budgets");
    deployment.apply_configuration();
    deployment.wait_for("the floors of both hosts", || {
        let reports = [0, 1].map(|host| {
            json(&deployment.run_as_writer(&["status", "--json"], host))["budgets"].clone()
        });
        let floor = |report: &Value| report["customers"][0]["floor_rate"].as_f64().unwrap();
        let open = |report: &Value| report["targets"][0]["open"].as_bool().unwrap();
        let sum = floor(&reports[0]) + floor(&reports[1]);
        assert!(sum <= 1000.0, "{reports:?}");
        assert!(!(open(&reports[0]) && open(&reports[1])), "{reports:?}");
        (sum == 1000.0 && open(&reports[0])).then_some(())
    });
}

#[test]
fn drain_shows_in_status_until_undrained() {
    let deployment = Deployment::start("drain");
    deployment.apply_configuration();
    let output = deployment.run_as_writer(&["drain", "domain", "b", "--by", "2h"], 0);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output));
    let status = json(&deployment.run_as_writer(&["status", "--json"], 0));
    assert_eq!(status["drains"][0]["name"], "domain/b", "{status}");
    let output = deployment.run_as_writer(&["undrain", "domain", "b"], 0);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output));
    let output = deployment.run_as_writer(&["drain", "domain", "nowhere"], 0);
    assert_eq!(output.status.code(), Some(1), "{}", text(&output));
}

#[test]
fn a_drain_that_cannot_end_in_time_is_refused() {
    let deployment = Deployment::start("drain-too-late");
    deployment.apply_configuration();
    let output = deployment.run_as_writer(&["drain", "domain", "a", "--by", "1s"], 0);
    assert_eq!(output.status.code(), Some(1), "{}", text(&output));
}

#[test]
fn a_withdrawn_key_is_refused_at_all_hosts_and_the_answer_lists_domains() {
    let deployment = Deployment::start("withdraw");
    deployment.apply_configuration();
    let (id, key) = deployment.grant_key("x");
    let bearer = format!("Bearer {key}");
    let headers = [("authorization", bearer.as_str())];
    for host in 0..2 {
        deployment.wait_for("the key", || {
            (deployment.send_request(host, "GET", "/keyed/1", &headers).status == 200).then_some(())
        });
    }
    let answer = json(&deployment.run_as_writer(&["key", "withdraw", &id, "--json"], 0));
    assert_eq!(answer["in_force"], serde_json::json!(["a", "b"]), "{answer}");
    assert_eq!(answer["not_reached"], serde_json::json!([]), "{answer}");
    for host in 0..2 {
        assert_eq!(deployment.send_request(host, "GET", "/keyed/1", &headers).status, 401);
    }
}

#[test]
fn a_domain_of_which_no_host_is_known_is_not_reached_by_a_withdrawal() {
    let deployment = Deployment::start("unknown-domain");
    deployment.apply_configuration();
    let file = deployment.write_file(
        "domain.jsonc",
        "{\"objects\": [{\"kind\": \"domain\", \"name\": \"c\", \"region\": \"north\"}]}",
    );
    assert_eq!(deployment.run_as_writer(&["apply", &file], 0).status.code(), Some(0));
    let (id, _) = deployment.grant_key("x");
    let answer = json(&deployment.run_as_writer(&["key", "withdraw", &id, "--json"], 0));
    assert_eq!(answer["in_force"], serde_json::json!(["a", "b"]), "{answer}");
    assert_eq!(answer["not_reached"], serde_json::json!(["c"]), "{answer}");
}

#[test]
fn token_roles_limit_reads_and_writes() {
    let deployment = Deployment::start("tokens");
    deployment.apply_configuration();
    let output = deployment.run_with_token(READ_TOKEN, &["status"], 0);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output));
    for (token, reason) in [(READ_TOKEN, "may only read"), ("wrong", "missing or unknown")] {
        let output = deployment.run_with_token(token, &["key", "grant", "x"], 0);
        assert_eq!(output.status.code(), Some(1));
        assert!(text(&output).contains(reason), "{}", text(&output));
    }
    let read_log = || std::fs::read_to_string(deployment.folder.join("h1.log")).unwrap();
    let line = "operator refused reason=role operator=reader path=/v1/keys";
    deployment.wait_for("the refusal in the log", || read_log().contains(line).then_some(()));
}

#[test]
fn log_level_changes_while_the_host_runs_and_no_key_is_logged() {
    let deployment = Deployment::start("log-level");
    deployment.apply_configuration();
    let (_, key) = deployment.grant_key("x");
    let bearer = format!("Bearer {key}");
    let call =
        || deployment.send_request(0, "GET", "/keyed/1", &[("authorization", bearer.as_str())]);
    deployment.wait_for("the key", || (call().status == 200).then_some(()));
    let read_log = || std::fs::read_to_string(deployment.folder.join("h1.log")).unwrap();
    deployment.wait_for("a decision in the log", || read_log().contains("target=t").then_some(()));
    let output = deployment.run_as_writer(&["log-level", "error"], 0);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output));
    std::thread::sleep(std::time::Duration::from_secs(1));
    let before = read_log().len();
    assert_eq!(call().status, 200);
    std::thread::sleep(std::time::Duration::from_secs(1));
    assert_eq!(read_log().len(), before);
    assert!(!read_log().contains(&key[key.len() - 16..]), "a key is in the log");
}
