//! The scripts' cases of the second review. `review-standins-2 CASE ROOT RECORD` runs one: `ROOT` is the
//! repository, and `RECORD` the file that tells what happened. `TROUBLE=0` leaves the trouble out.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod consumer;
mod engine;
mod http;
mod late_join;
mod node;
mod slow_consumers;
mod store;
mod verdict;
mod worker;

use std::path::PathBuf;
use std::process::ExitCode;
use std::{env, fs};

use self::verdict::Verdict;

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, root, record] = arguments.as_slice() else {
        eprintln!("usage: review-standins-2 CASE ROOT RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = env::temp_dir().join(format!("review-2-{}", std::process::id()));
    if let Err(error) = fs::create_dir_all(&folder) {
        eprintln!("no temporary folder: {error}");
        return ExitCode::from(2);
    }
    let (root, record) = (PathBuf::from(root), PathBuf::from(record));
    let outcome = match case.as_str() {
        "slow-consumers" => slow_consumers::run(&root, &folder, &record, has_trouble),
        "late-join" => late_join::run(&root, &folder, &record, has_trouble),
        _ => Err(std::io::Error::other("unknown case")),
    };
    if env::var("KEEP").is_err() {
        let _removed = fs::remove_dir_all(&folder);
    }
    match outcome {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            let _written = fs::write(&record, format!("the case could not run: {error}\n"));
            ExitCode::from(2)
        }
    }
}
