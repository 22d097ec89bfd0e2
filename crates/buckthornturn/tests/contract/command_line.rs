//! Subcommands that need no running host: help, argument errors and checks of files.

use crate::deployment::run_binary;

const SETTINGS: &str = r#"{
  // Settings.
  "host": "h", "failure_domain": "a", "region": "north",
  "listeners": {"callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "mesh": "127.0.0.1:0"},
  "store": {"address": "127.0.0.1:9"}
}"#;

const BROKEN: &str = r#"{
  "objects": [
    {"kind": "customer", "name": "x", "rate_per_second": 0, "burst": 5, "services": ["s"]},
    {"kind": "assignment", "name": "s", "service": "s", "profil": "p"}
  ]
}"#;

macro_rules! command_cases {
    ($($name:ident: $arguments:expr => $code:expr, $text:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let output = run_binary(&$arguments, "");
                let text = [output.stdout, output.stderr].concat();
                let text = String::from_utf8_lossy(&text);
                assert_eq!(output.status.code(), Some($code), "{text}");
                assert!(text.contains($text), "{text}");
            }
        )*
    };
}

command_cases! {
    help: ["--help"] => 0, "buckthornturn drain (target|domain|region) NAME [--by TIME]";
    version: ["--version"] => 0, concat!("buckthornturn ", env!("CARGO_PKG_VERSION"));
    help_of_host: ["host", "--help"] => 0, "--settings FILE";
    help_of_check: ["check", "--help"] => 0, "--partial";
    help_of_apply: ["apply", "--help"] => 0, "--dry-run";
    help_of_get: ["get", "--help"] => 0, "[KIND [NAME]]";
    help_of_status: ["status", "--help"] => 0, "confirmation ages";
    help_of_drain: ["drain", "--help"] => 0, "--by TIME";
    help_of_undrain: ["undrain", "--help"] => 0, "Ends a drain";
    help_of_key: ["key", "--help"] => 0, "key withdraw KEY-ID";
    help_of_log_level: ["log-level", "--help"] => 0, "error|warn|info|debug|trace";
    help_of_explain: ["explain", "--help"] => 0, "explain REQUEST-ID FILE";
    explain_without_file: ["explain", "9c41d07be2a35f68"] => 2, "FILE is missing";
    explain_with_a_file_that_is_missing: ["explain", "9c41d07be2a35f68", "nowhere.log"] => 2, "cannot read nowhere.log";
    no_subcommand: [] => 2, "no subcommand is given; see `buckthornturn --help`";
    unknown_subcommand: ["serve"] => 2, "unknown subcommand `serve`";
    unknown_argument: ["check", "x", "--fast"] => 2, "unknown argument `--fast`";
    extra_argument: ["check", "x", "y"] => 2, "unknown argument `y`";
    missing_file_argument: ["check"] => 2, "FILE is missing";
    missing_host: ["status"] => 2, "--host";
    malformed_host: ["status", "--host", "nowhere"] => 2, "nowhere";
    missing_settings: ["host"] => 2, "--settings";
    bound_without_name: ["host", "--settings", "x", "--bound", "=5"] => 2, "`=5` is not of the form NAME=VALUE";
    bound_that_is_no_number: ["host", "--settings", "x", "--bound", "quota_slack=many"] => 2, "quota_slack: `many` is not a number";
    unreadable_file: ["check", "no-such-file.jsonc"] => 2, "cannot read no-such-file.jsonc";
    unknown_scope: ["drain", "cell", "a", "--host", "127.0.0.1:9"] => 2, "`cell` is not one of target, domain, region";
    malformed_time: ["drain", "domain", "a", "--by", "soon", "--host", "127.0.0.1:9"] => 2, "`soon` is neither a time";
    unknown_kind: ["get", "cell", "--host", "127.0.0.1:9"] => 2, "unknown kind `cell`";
    unknown_level: ["log-level", "loud", "--host", "127.0.0.1:9"] => 2, "`loud` is not one of";
    unreachable_host: ["status", "--host", "127.0.0.1:9"] => 1, "127.0.0.1:9";
}

fn write_file(name: &str, text: &str) -> String {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path.to_str().unwrap().to_owned()
}

#[test]
fn check_accepts_valid_settings() {
    let path = write_file("check-settings.jsonc", SETTINGS);
    let output = run_binary(&["check", &path], "");
    assert_eq!(output.status.code(), Some(0), "{output:?}");
}

#[test]
fn check_reports_every_problem_with_its_position() {
    let path = write_file("check-broken.jsonc", BROKEN);
    let output = run_binary(&["check", &path], "");
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    let text = String::from_utf8(output.stderr).unwrap();
    for part in [
        "check-broken.jsonc:3:58: objects[0].rate_per_second: 0 is not a number above 0",
        "check-broken.jsonc:4:5: objects[1].profile: this field is missing",
        "check-broken.jsonc:4:57: objects[1].profil: unknown field",
    ] {
        assert!(text.contains(part), "{text}");
    }
}

#[test]
fn check_answers_as_json() {
    let path = write_file("check-json.jsonc", BROKEN);
    let output = run_binary(&["check", &path, "--json"], "");
    let answer: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(answer["valid"], false);
    assert_eq!(answer["problems"][0]["line"], 3);
}

#[test]
fn host_reports_the_position_of_invalid_settings() {
    let path = write_file("host-broken.jsonc", &SETTINGS.replace("\"store\"", "\"stor\""));
    let output = run_binary(&["host", "--settings", &path], "");
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains("5:3: stor: unknown field"), "{text}");
}

#[test]
fn host_refuses_a_missing_certificate() {
    let tls =
        "\"tls\": {\"callers\": {\"certificate\": \"no.pem\", \"key\": \"no.key\"}}, \"store\"";
    let path = write_file("host-tls.jsonc", &SETTINGS.replace("\"store\"", tls));
    let output = run_binary(&["host", "--settings", &path], "");
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    assert!(String::from_utf8(output.stderr).unwrap().contains("cannot read no.pem"));
}
