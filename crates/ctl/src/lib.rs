//! The operator's command-line tool of plantainroute.

pub mod commands;
pub mod options;
pub mod output;

use commands::CommandError;
use options::{ControlArguments, ControlSettings};
use std::process::ExitCode;
use tokio::runtime::Builder;

/// Exit status of a wrong command line or file.
const USAGE_STATUS: u8 = 2;
/// Exit status of a change that somebody else's change came before.
const RACE_STATUS: u8 = 3;
/// Exit status of a wait that ended before all processes had the change.
const BEHIND_STATUS: u8 = 4;

/// Reads the command line and carries it out.
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
    match runtime.block_on(commands::carry_out(&settings, arguments.command)) {
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
