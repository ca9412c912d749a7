//! Command-line tool for operators of plantainroute.

pub mod commands;
pub mod options;
pub mod output;

use commands::CommandError;
use options::{ControlArguments, ControlSettings};
use std::process::ExitCode;
use tokio::runtime::Builder;

/// Exit status of an invalid command line, file or change.
const USAGE_STATUS: u8 = 2;
/// Exit status of a change that was not made because a concurrent one was made first.
const RACE_STATUS: u8 = 3;
/// Exit status of a `--wait` that timed out before all processes had the change.
const BEHIND_STATUS: u8 = 4;

/// Parses the command line and runs the command.
pub fn run() -> ExitCode {
    let arguments = match ControlArguments::read() {
        Ok(arguments) => arguments,
        Err(code) => return code,
    };
    let settings = match ControlSettings::new(&arguments) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("plantainctl: {error}");
            return ExitCode::from(USAGE_STATUS);
        }
    };
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("plantainctl: start runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(commands::execute(&settings, arguments.command)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("plantainctl: {error}");
            ExitCode::from(exit_status(&error))
        }
    }
}

fn exit_status(error: &CommandError) -> u8 {
    match error {
        CommandError::Invalid(_) => USAGE_STATUS,
        CommandError::RaceLost(_) => RACE_STATUS,
        CommandError::Behind(_) => BEHIND_STATUS,
        CommandError::Failed(_) => 1,
    }
}
