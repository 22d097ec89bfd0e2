//! Plays the scripts of this review. `rig-3 CASE FOLDER` writes `record.txt` into FOLDER and exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case couldn't run. With `TROUBLE=0` the disruption is left out.

mod deployment;
mod host;
mod http;
mod pipelines;
mod poison;
mod quota;
mod record;
mod server;
mod store;

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use crate::record::Record;

/// A case gets the record, a folder for files of the run, and whether the disruption takes place. It tells whether the rule
/// held.
type Case = fn(&Record, &Path, bool) -> Result<bool, String>;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (name, folder) =
        (arguments.next().unwrap_or_default(), arguments.next().unwrap_or_default());
    let case: Case = match &*name {
        "poison" => poison::play_pieces,
        "answers" => poison::play_answers,
        "quota" => quota::play,
        "pipelines" => pipelines::play,
        _ => {
            eprintln!("unknown case `{name}`");
            return ExitCode::from(2);
        }
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let files = std::env::temp_dir().join(format!("review-3-{name}-{}", std::process::id()));
    let record = Record::create(&PathBuf::from(folder).join("record.txt"));
    let (Ok(record), Ok(())) = (record, std::fs::create_dir_all(&files)) else {
        eprintln!("cannot write the record or the files of the run");
        return ExitCode::from(2);
    };
    record.tell(format!("case {name}, disruption {}", if has_trouble { "on" } else { "off" }));
    let result = case(&record, &files, has_trouble);
    let code = match result {
        Ok(true) => {
            record.tell("the rule held");
            0
        }
        Ok(false) => {
            record.tell("the rule was broken");
            1
        }
        Err(reason) => {
            record.tell(format!("the case could not run: {reason}"));
            2
        }
    };
    let _ = std::fs::remove_dir_all(&files);
    // Threads of the stand-ins are still running.
    std::process::exit(code)
}
