//! The daemon of plantainroute.
//!
//! Where targets can only be reached through their agents, `entry` takes callers' requests and `agent`
//! proxies those for one target. Where targets can be called directly, `router` takes callers' requests
//! and `loader` orders loads and unloads at one engine.

pub mod agent;
mod clock;
pub mod duty;
pub mod entry;
pub mod link;
pub mod loader;
pub mod logging;
pub mod options;
mod reload;
pub mod router;
pub mod telemetry;
mod watch;

use options::{DaemonArguments, DaemonSettings};
use std::process::ExitCode;

/// Exit status if the arguments or settings are invalid.
const USAGE_STATUS: u8 = 2;

/// Reads the arguments, checks the settings and runs the role until a stop signal arrives.
pub fn run() -> ExitCode {
    let arguments = match DaemonArguments::read() {
        Ok(arguments) => arguments,
        Err(code) => return code,
    };
    let is_check = arguments.is_check();
    let settings = match DaemonSettings::new(arguments) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("plantaind: {error}");
            return ExitCode::from(USAGE_STATUS);
        }
    };
    if is_check {
        println!("{}", settings.describe());
        return ExitCode::SUCCESS;
    }
    let result = match settings {
        DaemonSettings::Entry(settings) => entry::run(settings),
        DaemonSettings::Agent(settings) => agent::run(settings),
        DaemonSettings::Router(settings) => router::run(&settings),
        DaemonSettings::Loader(settings) => loader::run(&settings),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("plantaind: {error:#}");
            ExitCode::FAILURE
        }
    }
}
