//! Parses the command line and runs the subcommand.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use pico_args::Arguments;
use tokio::runtime::Runtime;

use crate::demo;
use crate::deployment::DeploymentKind;
use crate::experiment;
use crate::load_command;
use crate::log_output::redirect_log;
use crate::measure;
use crate::report_table::SUMMARY_TABLE_HEAD;
use crate::report_table::experiment_text;
use crate::report_table::summary_row;
use crate::store::StoreStandin;
use crate::target_standin::TargetBehaviour;
use crate::target_standin::TargetStandin;

const HELP: &str = "\
buckthornturn-standin: stand-ins for the store, targets and callers

Usage:
  buckthornturn-standin demo [--seconds N] [--deployment heredia|shrestha-sunar] [--log FILE]
  buckthornturn-standin experiment FILE... [--deployment NAME] [--out DIRECTORY] [--log FILE]
  buckthornturn-standin measure [--only NAME]
  buckthornturn-standin store --listen ADDR
  buckthornturn-standin target --listen ADDR [--name NAME] [--behaviour JSON]
  buckthornturn-standin load FILE [--json]
";
const DEFAULT_REPORT_DIRECTORY: &str = "out";
const DEFAULT_DEMO_SECONDS: u64 = 10;

type CommandError = Box<dyn std::error::Error + Send + Sync>;

/// Runs the subcommand named on the command line of this process. An error is printed on standard error with its causes
/// and becomes a failing exit status.
pub fn run() -> ExitCode {
    let result = Runtime::new()
        .map_err(CommandError::from)
        .and_then(|runtime| runtime.block_on(dispatch(Arguments::from_env())));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            let mut cause = error.source();
            while let Some(source) = cause {
                eprintln!("  because: {source}");
                cause = source.source();
            }
            ExitCode::FAILURE
        }
    }
}

async fn dispatch(mut arguments: Arguments) -> Result<(), CommandError> {
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(());
    }
    match arguments.subcommand()?.as_deref() {
        Some("demo") => {
            let seconds =
                arguments.opt_value_from_str("--seconds")?.unwrap_or(DEFAULT_DEMO_SECONDS);
            let kind = arguments.opt_value_from_str("--deployment")?.unwrap_or_default();
            let log: Option<PathBuf> = arguments.opt_value_from_str("--log")?;
            reject_extra_arguments(arguments)?;
            redirect_log(log.as_deref())?;
            Ok(demo::run(kind, Duration::from_secs(seconds)).await?)
        }
        Some("experiment") => {
            let kind = arguments.opt_value_from_str("--deployment")?;
            let out: Option<PathBuf> = arguments.opt_value_from_str("--out")?;
            let log: Option<PathBuf> = arguments.opt_value_from_str("--log")?;
            let files: Vec<PathBuf> = arguments.finish().into_iter().map(PathBuf::from).collect();
            redirect_log(log.as_deref())?;
            run_experiments(&files, kind, &out.unwrap_or_else(|| DEFAULT_REPORT_DIRECTORY.into()))
                .await
        }
        Some("measure") => {
            let only: Option<String> = arguments.opt_value_from_str("--only")?;
            reject_extra_arguments(arguments)?;
            redirect_log(None)?;
            Ok(measure::run(only.as_deref()).await?)
        }
        Some("store") => serve_store(arguments).await,
        Some("target") => serve_target(arguments).await,
        Some("load") => {
            let json = arguments.contains("--json");
            let file: PathBuf = arguments.free_from_str()?;
            reject_extra_arguments(arguments)?;
            Ok(load_command::run(&file, json).await?)
        }
        _ => Err("unknown subcommand; see --help".into()),
    }
}

async fn run_experiments(
    files: &[PathBuf],
    kind: Option<DeploymentKind>,
    out: &Path,
) -> Result<(), CommandError> {
    if files.is_empty() || files.iter().any(|file| file.to_string_lossy().starts_with('-')) {
        return Err("experiment takes one or more FILE arguments; see --help".into());
    }
    let mut rows = Vec::new();
    for file in files {
        let report = experiment::run_file(file, kind, out).await?;
        println!("{}", experiment_text(&report));
        rows.push(summary_row(&report));
    }
    if files.len() > 1 {
        println!("{SUMMARY_TABLE_HEAD}\n{}", rows.join("\n"));
    }
    Ok(())
}

async fn serve_store(mut arguments: Arguments) -> Result<(), CommandError> {
    let address: SocketAddr = arguments.value_from_str("--listen")?;
    reject_extra_arguments(arguments)?;
    let store = StoreStandin::start(address).await?;
    println!("listening on {}", store.address());
    Ok(tokio::signal::ctrl_c().await?)
}

async fn serve_target(mut arguments: Arguments) -> Result<(), CommandError> {
    let address: SocketAddr = arguments.value_from_str("--listen")?;
    let name: Option<String> = arguments.opt_value_from_str("--name")?;
    let behaviour: Option<String> = arguments.opt_value_from_str("--behaviour")?;
    reject_extra_arguments(arguments)?;
    let behaviour: TargetBehaviour = serde_json::from_str(behaviour.as_deref().unwrap_or("{}"))?;
    let name = name.unwrap_or_else(|| "target".into()).into_boxed_str();
    let target = TargetStandin::start(name, address, behaviour).await?;
    println!("listening on {}", target.address());
    Ok(tokio::signal::ctrl_c().await?)
}

fn reject_extra_arguments(arguments: Arguments) -> Result<(), CommandError> {
    match arguments.finish().first() {
        Some(extra) => Err(format!("unknown argument {extra:?}; see --help").into()),
        None => Ok(()),
    }
}
