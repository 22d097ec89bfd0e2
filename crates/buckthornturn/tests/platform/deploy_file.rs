//! The deploy file and its template, filled in as the platform does and given to the program.

use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use indexmap::IndexSet;

const WAIT_LIMIT: Duration = Duration::from_secs(20);
const POLL_PAUSE: Duration = Duration::from_millis(20);
const BOUNDS_LINE: &str = "bounds in force";

/// Figures of an installation, none of which is the default of its bound, by the names of the platform and of the settings.
const FIGURES: [(&str, &str, &str); 11] = [
    ("bounds.retry_budget_ratio", "retry_ratio", "0.35"),
    ("bounds.retry_budget_slack", "retry_slack", "77.0"),
    ("bounds.budget_window_s", "retry_window_seconds", "13.0"),
    ("bounds.quota_window_s", "quota_window_seconds", "7.0"),
    ("bounds.quota_overage", "quota_overage", "0.23"),
    ("bounds.quota_slack", "quota_slack", "31.0"),
    ("bounds.cold_overage", "cold_overage", "1.9"),
    ("bounds.cold_slack", "cold_slack", "9.0"),
    ("bounds.max_region_shift", "region_shift", "0.27"),
    ("bounds.ttl_max_s", "look_up_life_seconds", "4.0"),
    ("bounds.grace_period_s", "shutdown_seconds", "8.0"),
];
/// Defaults that are in force where an installation states no figure (docs/OPERATIONS.md).
const DEFAULTS: [(&str, &str); 7] = [
    ("retry_window_seconds", "10.0"),
    ("quota_window_seconds", "5.0"),
    ("quota_overage", "0.1"),
    ("quota_slack", "20.0"),
    ("cold_overage", "1.5"),
    ("cold_slack", "5.0"),
    ("region_shift", "0.15"),
];

/// A host started by the command of the deploy file; dropping it kills the process.
struct DeployedHost {
    process: Child,
    log: PathBuf,
    settings: PathBuf,
}

fn repository_file(path: &str) -> String {
    std::fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").join(path)).unwrap()
}

/// Replaces the placeholders of a text. One without a value is left out.
fn fill_in(text: &str, fields: &IndexMap<&str, String>) -> String {
    let (mut filled, mut rest) = (String::new(), text);
    while let Some((before, behind)) = rest.split_once("{{") {
        let (placeholder, behind) = behind.split_once("}}").unwrap();
        let name = placeholder.trim_end_matches("|json");
        filled += before;
        filled += fields.get(name).map_or("", String::as_str);
        rest = behind;
    }
    filled + rest
}

fn placeholders(text: &str) -> IndexSet<&str> {
    text.split("{{").skip(1).map(|part| part.split_once("}}").unwrap().0).collect()
}

/// Words of the deploy file's command, without the program.
fn command_words() -> Vec<String> {
    let text = repository_file("deploy/system.toml");
    let run = text.lines().find_map(|line| line.strip_prefix("run = \"")).unwrap();
    run.trim_end_matches('"').split(' ').skip(1).map(str::to_owned).collect()
}

/// Fields of the platform for a host on ports of the system's choice, whose store answers nothing, with the given figures.
fn platform_fields(figures: &[(&'static str, &str)]) -> IndexMap<&'static str, String> {
    let any_port = || r#""127.0.0.1:0""#.to_owned();
    let mut fields: IndexMap<&'static str, String> = [
        ("node_name", r#""edge-1""#.to_owned()),
        ("zone", r#""north-a""#.to_owned()),
        ("region", r#""north""#.to_owned()),
        ("zones", r#"{"north-a":"north"}"#.to_owned()),
        ("ip", "127.0.0.1".to_owned()),
        ("listen_addrs.frontend", any_port()),
        ("listen_addrs.directory", any_port()),
        ("listen_addrs.readiness", any_port()),
        ("listen_addrs.control_plane", any_port()),
        ("platform.address", r#""127.0.0.1:9""#.to_owned()),
        ("seed_nodes", "[]".to_owned()),
        ("limits.cpu_share", "0.2".to_owned()),
        ("limits.memory_mb", "260".to_owned()),
        ("limits.max_fds", "4100".to_owned()),
    ]
    .into();
    fields.extend(figures.iter().map(|(name, value)| (*name, (*value).to_owned())));
    fields
}

impl DeployedHost {
    fn start(name: &str, fields: &IndexMap<&'static str, String>) -> Self {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&folder).unwrap();
        let (log, settings) = (folder.join("host.log"), folder.join("settings.jsonc"));
        write_settings(&settings, fields);
        let output = std::fs::File::create(&log).unwrap();
        let words = command_words().into_iter().map(|word| match word.starts_with('/') {
            true => settings.to_str().unwrap().to_owned(),
            false => fill_in(&word, fields),
        });
        let process = Command::new(env!("CARGO_BIN_EXE_buckthornturn"))
            .args(words)
            .stdin(Stdio::null())
            .stdout(output.try_clone().unwrap())
            .stderr(output)
            .spawn()
            .unwrap();
        Self { process, log, settings }
    }

    /// Waits for a line about the bounds that has all parts, of which each is a word of the line.
    fn wait_for_bounds(&self, parts: &[String]) -> String {
        let end = Instant::now() + WAIT_LIMIT;
        loop {
            let text = std::fs::read_to_string(&self.log).unwrap();
            let words = |line: &str| {
                let split = line.split([' ', '"']).map(str::to_owned);
                split.collect::<IndexSet<String>>()
            };
            let is_found = |line: &&str| {
                line.contains(BOUNDS_LINE) && parts.iter().all(|part| words(line).contains(part))
            };
            if let Some(line) = text.lines().find(is_found) {
                return line.to_owned();
            }
            assert!(Instant::now() < end, "no bounds {parts:?} in {text}");
            std::thread::sleep(POLL_PAUSE);
        }
    }
}

impl Drop for DeployedHost {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

fn write_settings(path: &Path, fields: &IndexMap<&'static str, String>) {
    // The port of the metrics is fixed in the template; the tests leave it to the system.
    let text = repository_file("deploy/host.jsonc").replace("{{ip}}:9464", "{{ip}}:0");
    std::fs::write(path, fill_in(&text, fields)).unwrap();
}

fn figures() -> Vec<(&'static str, &'static str)> {
    FIGURES.iter().map(|(platform, _, value)| (*platform, *value)).collect()
}

/// Guards against figures of an installation that the deploy file does not pass on.
#[test]
fn figures_of_the_platform_are_in_force() {
    let host = DeployedHost::start("deploy-figures", &platform_fields(&figures()));
    let expected = FIGURES.map(|(_, name, value)| format!("{name}={value}"));
    host.wait_for_bounds(&expected);
}

/// Guards against figures of the command line that a new settings file displaces.
#[test]
fn figures_of_the_platform_stay_in_force_when_the_settings_change() {
    let mut fields = platform_fields(&figures());
    let host = DeployedHost::start("deploy-changed", &fields);
    host.wait_for_bounds(&["retry_slack=77.0".to_owned()]);
    fields.insert("bounds.retry_budget_slack", "99.0".to_owned());
    write_settings(&host.settings, &fields);
    let changed = FIGURES.map(|(_, name, value)| match name {
        "retry_slack" => "retry_slack=99.0".to_owned(),
        name => format!("{name}={value}"),
    });
    host.wait_for_bounds(&changed);
}

macro_rules! missing_figure_cases {
    ($($name:ident: $value:expr;)*) => {
        $(
            /// Guards against a missing figure that counts as zero, or that the log does not tell.
            #[test]
            fn $name() {
                let defaults: IndexSet<&str> = DEFAULTS.iter().map(|(name, _)| *name).collect();
                let stated: Vec<(&'static str, &str)> = FIGURES
                    .iter()
                    .map(|(platform, name, value)| match defaults.contains(name) {
                        true => (*platform, $value),
                        false => (*platform, *value),
                    })
                    .collect();
                let host = DeployedHost::start(stringify!($name), &platform_fields(&stated));
                let expected = DEFAULTS.map(|(name, value)| format!("{name}={value}"));
                let line = host.wait_for_bounds(&expected);
                let told = line.split_once("defaults").unwrap().1;
                assert!(defaults.iter().all(|name| told.contains(name)), "{line}");
                assert!(!told.contains("retry_ratio"), "{line}");
            }
        )*
    };
}

missing_figure_cases! {
    figures_without_a_value_have_their_defaults: "";
    figures_that_are_null_have_their_defaults: "null";
}

macro_rules! filled_in_cases {
    ($($name:ident: $path:expr;)*) => {
        $(
            /// Guards against a placeholder that scripts which start hosts from the template do not know.
            #[test]
            fn $name() {
                let (script, template) = (repository_file($path), repository_file("deploy/host.jsonc"));
                let is_known = |name: &&str| {
                    let field = name.trim_end_matches("|json");
                    [*name, field].iter().any(|name| script.contains(&format!("\"{name}\"")))
                        || script.contains(&format!("{{{{{name}}}}}"))
                };
                let unknown: Vec<&str> = placeholders(&template).into_iter().filter(|name| !is_known(name)).collect();
                assert!(unknown.is_empty(), "{unknown:?}");
            }
        )*
    };
}

filled_in_cases! {
    the_first_scripts_of_the_review_fill_in_the_template: "review/rig/deployment.rs";
    the_second_scripts_of_the_review_fill_in_the_template: "review/rig-2/parts.rs";
}
