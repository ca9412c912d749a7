//! Runs one case of the review: `standin2 CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
//! case could not run. With `TROUBLE=0` in the environment, the disruption is left out.

mod cases;
mod engine;
mod http;
mod journal;
mod json;
mod replica;
mod site;
mod store;

use std::{env, path::PathBuf, process::exit, thread, time::Duration};

/// Longest time of a case.
const LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let words: Vec<String> = env::args().skip(1).collect();
    if words.first().is_some_and(|word| word == "replica") {
        cases::gone::run_replica(&words[1..]);
        return;
    }
    let (Some(name), Some(record)) = (words.first(), words.get(1).map(PathBuf::from)) else {
        eprintln!("usage: standin2 CASE RECORD");
        exit(2);
    };
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let result = match name.as_str() {
        "stop" => cases::stop::run(&record, has_trouble),
        "slow-reader" => cases::slow_reader::run(&record, has_trouble),
        "uploads" => cases::uploads::run(&record, has_trouble),
        "adapters" => cases::adapters::run(&record, has_trouble),
        "crlf" => cases::crlf::run(&record, has_trouble),
        "gone" => cases::gone::run(&record, has_trouble),
        _ => {
            eprintln!("no case {name}");
            exit(2);
        }
    };
    match result {
        Ok(true) => exit(0),
        Ok(false) => exit(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            exit(2);
        }
    }
}

/// Ends the program and the processes that it started if a case hangs.
pub fn limit_time() {
    thread::spawn(|| {
        thread::sleep(LIMIT);
        eprintln!("the case took too long");
        site::end_started();
        exit(2);
    });
}
