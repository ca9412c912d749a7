//! Stand-ins for the systems that plantainroute serves, with the demo and the benchmarks.

pub mod answer;
pub mod bench;
pub mod call;
pub mod cluster;
pub mod demo;
pub mod engine;
pub mod fault;
pub mod faults;
pub mod options;
pub mod overhead;
pub mod platform;
pub mod plot;
pub mod scale;
pub mod service;
pub mod silent_address;
pub mod weights;

use eyre::{Result, WrapErr};
use options::StandinCommand;
use plantaind::duty;
use std::process::ExitCode;
use tokio::runtime::Builder;

/// Exit status for invalid command-line arguments.
const USAGE_STATUS: u8 = 2;

/// Parses the command line and runs the selected stand-in or tool.
pub fn run() -> ExitCode {
    let command = match options::read() {
        Ok(command) => command,
        Err(code) => return code,
    };
    match run_command(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("plantain-standin: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run_command(command: StandinCommand) -> Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build().wrap_err("start runtime")?;
    runtime.block_on(async {
        let stopping = duty::stop_signal()?;
        match command {
            StandinCommand::Platform(arguments) => {
                platform::run(arguments.into_options(), stopping).await
            }
            StandinCommand::Engine(arguments) => {
                engine::run(arguments.into_options(), stopping).await
            }
            StandinCommand::Weights(arguments) => {
                weights::run(arguments.into_options(), stopping).await
            }
            StandinCommand::Service(arguments) => {
                service::run(arguments.into_options(), stopping).await
            }
            StandinCommand::Fault(arguments) => {
                fault::run(arguments.into_options()?, stopping).await
            }
            StandinCommand::Demo(arguments) => demo::run(arguments, stopping).await,
            StandinCommand::Overhead(arguments) => overhead::run(arguments).await,
            StandinCommand::Faults(arguments) => faults::run(arguments).await,
            StandinCommand::Bench(arguments) => bench::run(arguments).await,
            StandinCommand::Plot(arguments) => plot::run(&arguments),
            StandinCommand::Scale(arguments) => scale::run(arguments).await,
        }
    })
}
