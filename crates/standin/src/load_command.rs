//! The `load` subcommand: sends the load that a plan file describes to hosts that run already.

use std::path::Path;
use std::time::Instant;

use http::Method;
use indexmap::IndexMap;
use serde_json::Value;
use snafu::ResultExt;
use snafu::Snafu;

use crate::json_client::JsonClient;
use crate::load::LoadDriver;
use crate::load::LoadPlan;
use crate::load::LoadReport;
use crate::report_table::load_text;

/// Reasons for which a load is not run.
#[derive(Debug, Snafu)]
pub enum LoadError {
    /// The plan file cannot be read.
    #[snafu(display("cannot read {path}"))]
    Read {
        /// Path of the plan file.
        path: Box<str>,
        /// Error of the system.
        source: std::io::Error,
    },
    /// The plan file is not JSON with comments, or a field is missing or invalid.
    #[snafu(display("{path}: {reason}"))]
    Invalid {
        /// Path of the plan file.
        path: Box<str>,
        /// Error of the parser, with its position in the file.
        reason: Box<str>,
    },
}

/// Runs the plan in `file` and prints the report on standard output, as a table or, with `json`, as JSON.
///
/// # Errors
///
/// Fails if the plan cannot be read or is invalid. Requests that fail are counted in the report.
pub async fn run(file: &Path, json: bool) -> Result<(), LoadError> {
    let path: Box<str> = file.display().to_string().into();
    let text = std::fs::read_to_string(file).context(ReadSnafu { path: path.clone() })?;
    let plan: LoadPlan = jsonc_parser::parse_to_serde_value(&text, &Default::default())
        .map_err(|error| LoadError::Invalid { path, reason: error.to_string().into() })?;
    let records = LoadDriver::new(plan.clone(), Instant::now()).run().await;
    let executions = target_executions(&plan).await;
    let report = LoadReport::new(&plan, &records, &executions);
    match json {
        true => println!("{:#}", serde_json::to_value(&report).unwrap_or(Value::Null)),
        false => print!("{}", load_text(&report)),
    }
    Ok(())
}

/// Sums the executions by request identifier over all targets. Targets that do not answer are left out, with a warning
/// on standard error.
async fn target_executions(plan: &LoadPlan) -> IndexMap<Box<str>, u32> {
    let mut total: IndexMap<Box<str>, u32> = IndexMap::new();
    for address in &plan.targets {
        match JsonClient::new(*address).call(Method::GET, "/executions", Value::Null).await {
            Ok(answer) => {
                let executions: IndexMap<Box<str>, u32> =
                    serde_json::from_value(answer).unwrap_or_default();
                for (id, count) in executions {
                    *total.entry(id).or_default() += count;
                }
            }
            Err(error) => eprintln!("warning: cannot read the executions of a target: {error}"),
        }
    }
    total
}
