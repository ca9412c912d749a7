//! Entry point of the daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    plantaind::run()
}
