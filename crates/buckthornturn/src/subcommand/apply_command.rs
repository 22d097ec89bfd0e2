//! The `apply` subcommand, which applies a configuration file through a host.

use std::path::PathBuf;

use coordination::ids::Revision;
use http::Method;
use pico_args::Arguments;
use serde_json::Value;
use serde_json::json;
use snafu::ResultExt;

use crate::configuration::ConfigProblem;
use crate::document::ConfigDocument;
use crate::error::Error;
use crate::error::InvalidFileSnafu;
use crate::error::ReadFileSnafu;
use crate::operators::ChangeEffect;
use crate::operators::EffectAction;
use crate::subcommand::check_command::file_problems;
use crate::subcommand::operator_endpoint::OperatorEndpoint;
use crate::subcommand::required_argument;
use crate::subcommand::usage_error;

/// Arguments of `apply`; the revision of `--expect` must be in force, if it is given.
pub struct ApplyCommand {
    endpoint: OperatorEndpoint,
    file: PathBuf,
    is_dry_run: bool,
    expected: Option<Revision>,
}

impl ApplyCommand {
    /// Parses the arguments; the file itself is read by `run`.
    pub(super) fn parse(arguments: &mut Arguments) -> Result<Self, Error> {
        let is_dry_run = arguments.contains("--dry-run");
        let expected = arguments.opt_value_from_str("--expect").map_err(usage_error)?;
        let endpoint = OperatorEndpoint::parse(arguments)?;
        Ok(Self {
            endpoint,
            file: PathBuf::from(&*required_argument(arguments, "FILE")?),
            is_dry_run,
            expected,
        })
    }

    /// Sends the changes of the file to the host and prints their effects. Problems that the host reports are printed
    /// with their lines and columns in the file.
    pub(super) fn run(self) -> Result<(), Error> {
        let text =
            std::fs::read_to_string(&self.file).context(ReadFileSnafu { path: &self.file })?;
        let document = match ConfigDocument::parse(&text) {
            Ok(document) => document,
            Err(problems) => {
                return InvalidFileSnafu { problems: file_problems(&self.file, &problems) }.fail();
            }
        };
        let body = json!({
            "changes": document.changes(),
            "expected": self.expected,
            "dry_run": self.is_dry_run,
        });
        match self.endpoint.call_and_print(Method::POST, "/v1/apply", body, print_effects) {
            Err(Error::Refused { problems, .. }) if !problems.is_empty() => {
                let locate = |problem: &ConfigProblem| document.locate(problem);
                let problems: Vec<_> = problems.iter().map(locate).collect();
                InvalidFileSnafu { problems: file_problems(&self.file, &problems) }.fail()
            }
            result => result,
        }
    }
}

fn print_effects(answer: &Value) {
    let effects: Vec<ChangeEffect> =
        serde_json::from_value(answer["effects"].clone()).unwrap_or_default();
    for effect in effects.iter().filter(|effect| effect.action != EffectAction::Keep) {
        let sign = match effect.action {
            EffectAction::Add => '+',
            EffectAction::Remove => '-',
            EffectAction::Change => '~',
            EffectAction::Keep | EffectAction::Missing => '?',
        };
        println!("{sign} {} {}", effect.kind, effect.name);
        for field in &effect.fields {
            println!("    {}: {} -> {}", field.field, field.before, field.after);
        }
    }
    let is_kept = |effect: &&ChangeEffect| effect.action == EffectAction::Keep;
    let kept = effects.iter().filter(is_kept).count();
    let revision = &answer["revision"];
    match answer.get("change_id") {
        Some(_) => println!("applied as revision {revision}; {kept} objects stay as they are"),
        None => {
            println!("nothing was changed; revision {revision}; {kept} objects stay as they are")
        }
    }
}
