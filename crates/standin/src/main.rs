//! Entry point of the stand-ins.

use std::process::ExitCode;

fn main() -> ExitCode {
    plantain_standin::run()
}
