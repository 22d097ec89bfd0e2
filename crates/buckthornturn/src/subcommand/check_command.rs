//! The `check` subcommand, which validates a settings or configuration file.

use std::path::Path;
use std::path::PathBuf;

use pico_args::Arguments;
use serde_json::json;
use snafu::ResultExt;

use crate::configuration::ConfigRules;
use crate::configuration::ConfigurationState;
use crate::document::ConfigDocument;
use crate::document::EntryDocument;
use crate::document::FileProblem;
use crate::document::SettingsDocument;
use crate::error::Error;
use crate::error::InvalidFileSnafu;
use crate::error::ReadFileSnafu;
use crate::subcommand::required_argument;

/// Arguments of `check`; with `--partial` the rules between objects are not checked.
pub struct CheckCommand {
    file: PathBuf,
    is_partial: bool,
    is_json: bool,
}

impl CheckCommand {
    /// Parses the arguments; the file itself is read by `run`.
    pub(super) fn parse(arguments: &mut Arguments) -> Result<Self, Error> {
        let (is_partial, is_json) = (arguments.contains("--partial"), arguments.contains("--json"));
        Ok(Self {
            file: PathBuf::from(&*required_argument(arguments, "FILE")?),
            is_partial,
            is_json,
        })
    }

    /// Validates the file as the type that its content suggests: entry settings, host settings or configuration.
    pub(super) fn run(self) -> Result<(), Error> {
        let text =
            std::fs::read_to_string(&self.file).context(ReadFileSnafu { path: &self.file })?;
        let problems = match &*text {
            text if EntryDocument::is_likely_settings(text) => {
                EntryDocument::parse(text).err().unwrap_or_default()
            }
            text if SettingsDocument::is_likely_settings(text) => {
                SettingsDocument::parse(text).err().unwrap_or_default()
            }
            text => config_problems(text, self.is_partial),
        };
        if self.is_json {
            let rows: Vec<_> = problems.iter().map(problem_json).collect();
            println!("{}", json!({ "valid": problems.is_empty(), "problems": rows }));
        }
        match problems.is_empty() {
            true if self.is_json => Ok(()),
            true => {
                println!("{}: valid", self.file.display());
                Ok(())
            }
            false => InvalidFileSnafu { problems: file_problems(&self.file, &problems) }.fail(),
        }
    }
}

/// One line for each problem, prefixed with the path of the file.
pub(super) fn file_problems(path: &Path, problems: &[FileProblem]) -> Vec<Box<str>> {
    problems.iter().map(|problem| format!("{}:{problem}", path.display()).into()).collect()
}

fn problem_json(problem: &FileProblem) -> serde_json::Value {
    json!({
        "line": problem.line,
        "column": problem.column,
        "field": problem.field,
        "reason": problem.reason,
    })
}

fn config_problems(text: &str, is_partial: bool) -> Vec<FileProblem> {
    let document = match ConfigDocument::parse(text) {
        Ok(document) => document,
        Err(problems) => return problems,
    };
    if is_partial {
        return Vec::new();
    }
    let mut state = ConfigurationState::default();
    document.objects().iter().for_each(|object| state.put(object.clone()));
    ConfigRules::check(&state).iter().map(|problem| document.locate(problem)).collect()
}
