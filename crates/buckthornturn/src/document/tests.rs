use super::ConfigDocument;
use super::SettingsDocument;
use crate::configuration::ConfigRules;
use crate::configuration::ConfigurationState;

const VALID_CONFIGURATION: &str = r#"{
  // A comment.
  "objects": [
    {"kind": "domain", "name": "a", "region": "north"},
    {"kind": "service", "name": "s", "hosts": ["s.example"],
     "routes": [{"name": "all", "path_prefix": "/"}]},
    {"kind": "target", "name": "t", "service": "s", "failure_domain": "a",
     "address": "127.0.0.1:9000", "slots": 4},
    {"kind": "profile", "name": "p"},
    {"kind": "assignment", "name": "s", "service": "s", "profile": "p"},
    {"kind": "customer", "name": "x", "rate_per_second": 10, "burst": 5, "services": ["s"]},
  ]
}"#;

const VALID_SETTINGS: &str = r#"{
  "host": "h", "failure_domain": "a", "region": "north",
  "listeners": {"callers": "127.0.0.1:1", "operators": "127.0.0.1:2", "mesh": "127.0.0.1:3"},
  "store": {"address": "127.0.0.1:4"}
}"#;

/// Returns all problems of a configuration file as text, including those between objects.
fn config_problems(text: &str) -> Vec<String> {
    let document = match ConfigDocument::parse(text) {
        Ok(document) => document,
        Err(problems) => return problems.iter().map(ToString::to_string).collect(),
    };
    let mut state = ConfigurationState::default();
    document.objects().iter().for_each(|object| state.put(object.clone()));
    let problems = ConfigRules::check(&state);
    problems.iter().map(|problem| document.locate(problem).to_string()).collect()
}

fn settings_problems(text: &str) -> Vec<String> {
    match SettingsDocument::parse(text) {
        Ok(_) => Vec::new(),
        Err(problems) => problems.iter().map(ToString::to_string).collect(),
    }
}

macro_rules! problem_cases {
    ($problems:ident, $valid:expr; $($name:ident: $from:expr => $to:expr, $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert!($valid.contains($from), "the text to replace is not in the valid file");
                let text = $valid.replacen($from, $to, 1);
                let expected: &[&str] = &$expected;
                assert_eq!($problems(&text), expected);
            }
        )*
    };
}

problem_cases! { config_problems, VALID_CONFIGURATION;
    valid_file: "A comment" => "Another", [];
    syntax: "\"objects\": [" => "\"objects\" [", ["3:13: not JSON: Expected colon after the string or word in object property"];
    unknown_kind: "\"kind\": \"domain\"" => "\"kind\": \"cell\"",
        ["4:14: objects[0].kind: expected one of domain, service, target, profile, assignment, customer, link, group, block"];
    unknown_field: "\"slots\": 4" => "\"slots\": 4, \"slot\": 5",
        ["8:47: objects[2].slot: unknown field; known are kind, name, service, failure_domain, address, slots, health_path, warm_up_seconds"];
    missing_field: ", \"region\": \"north\"" => "", ["4:5: objects[0].region: this field is missing"];
    repeated_field: "\"slots\": 4" => "\"slots\": 4, \"slots\": 5", ["8:47: objects[2].slots: this field is given twice"];
    shift_cap_of_zero: "\"name\": \"p\"}" => "\"name\": \"p\", \"shift_cap_percent_per_minute\": 0}",
        ["9:70: objects[3].shift_cap_percent_per_minute: 0 is not a number above 0, up to 6000"];
    missing_profile: "\"profile\": \"p\"}" => "\"profile\": \"q\"}", ["10:68: objects[4].profile: there is no profile `q`"];
    missing_domain: "\"failure_domain\": \"a\"" => "\"failure_domain\": \"b\"",
        ["7:71: objects[2].failure_domain: there is no failure domain `b`"];
    burst_below_one: "\"burst\": 5" => "\"burst\": 0.5", ["11:71: objects[5].burst: a burst of 0.5 lets no request through"];
    object_given_twice: "{\"kind\": \"profile\", \"name\": \"p\"}" => "{\"kind\": \"profile\", \"name\": \"p\"}, {\"kind\": \"profile\", \"name\": \"p\"}",
        ["9:39: objects[4]: profile `p` is given twice"];
    wrong_type: "\"slots\": 4" => "\"slots\": \"4\"", ["8:44: objects[2].slots: expected a whole number from 1 to 1000000"];
    columns_count_characters: "\"name\": \"a\", \"region\": \"north\"" => "\"name\": \"é\", \"regio\": \"north\", \"region\": \"n\"",
        ["4:37: objects[0].regio: unknown field; known are kind, name, region"];
    every_problem_of_an_object: "\"slots\": 4}" => "\"slots\": 0, \"health_path\": \"x\"}",
        ["8:44: objects[2].slots: 0 is not a whole number from 1 to 1000000",
         "8:62: objects[2].health_path: `x` is not a path that starts with `/`"];
    malformed_block: "{\"kind\": \"profile\", \"name\": \"p\"}" => "{\"kind\": \"profile\", \"name\": \"p\"}, {\"kind\": \"block\", \"name\": \"10.0.0.1/8\", \"group\": \"g\"}",
        ["9:65: objects[4].name: `10.0.0.1/8` is not a block, such as \"192.0.2.0/24\""];
    missing_group: "{\"kind\": \"profile\", \"name\": \"p\"}" => "{\"kind\": \"profile\", \"name\": \"p\"}, {\"kind\": \"block\", \"name\": \"10.0.0.0/8\", \"group\": \"g\"}",
        ["9:88: objects[4].group: there is no group `g`"];
    drain_is_not_for_files: "\"kind\": \"domain\"" => "\"kind\": \"drain\"",
        ["4:14: objects[0].kind: expected one of domain, service, target, profile, assignment, customer, link, group, block"];
}

problem_cases! { settings_problems, VALID_SETTINGS;
    valid_settings: "\"h\"" => "\"g\"", [];
    settings_without_store: ",\n  \"store\": {\"address\": \"127.0.0.1:4\"}" => "", ["1:1: store: this field is missing"];
    settings_with_name_for_address: "127.0.0.1:2" => "localhost:2",
        ["3:56: listeners.operators: `localhost:2` is not an IP address and port, such as \"127.0.0.1:7101\""];
    settings_with_unknown_field: "\"store\":" => "\"disk\": 1, \"store\":",
        ["4:3: disk: unknown field; known are host, failure_domain, region, listeners, store, seeds, operators, tls, log, metrics, caller_bounds, shutdown_seconds"];
}
