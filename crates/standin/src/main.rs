//! Binary that runs the stand-ins and the tools that use them.

use std::process::ExitCode;

fn main() -> ExitCode {
    plantain_standin::run()
}
