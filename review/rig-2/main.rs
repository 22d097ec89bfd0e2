//! Runs one case: `rig CASE FOLDER`. `TROUBLE=0` leaves the disruption out. Exit code: 1 if the rule was broken, 0 if it held, 2 if the
//! case could not run.

mod batch_return;
mod early_upload;
mod field_crowd;
mod head_crowd;
mod parts;
mod pipelined_stop;
mod quota_return;
mod server;

use std::path::PathBuf;
use std::process::ExitCode;

use parts::Record;

/// What a case is given.
pub struct Case {
    pub record: Record,
    /// Temporary folder for settings and logs.
    pub folder: PathBuf,
    pub has_trouble: bool,
}

pub enum Outcome {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = &arguments[..] else { return ExitCode::from(2) };
    let record = Record::create(&PathBuf::from(folder).join("record.txt"));
    let temporary = std::env::temp_dir().join(format!("review-2-{name}-{}", std::process::id()));
    if std::fs::create_dir_all(&temporary).is_err() {
        return ExitCode::from(2);
    }
    parts::end_after(std::time::Duration::from_secs(115));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let case = Case { record, folder: temporary.clone(), has_trouble };
    let run = || match name.as_str() {
        "pipelined-stop" => pipelined_stop::run(&case),
        "field-crowd" => field_crowd::run(&case),
        "batch-return" => batch_return::run(&case),
        "early-upload" => early_upload::run(&case),
        "quota-return" => quota_return::run(&case),
        "head-crowd" => head_crowd::run(&case),
        _ => Outcome::NotRun,
    };
    let outcome =
        std::panic::catch_unwind(std::panic::AssertUnwindSafe(run)).unwrap_or(Outcome::NotRun);
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    match outcome {
        Outcome::Held => ExitCode::from(0),
        Outcome::Broken => ExitCode::from(1),
        Outcome::NotRun => ExitCode::from(2),
    }
}
