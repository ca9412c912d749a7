//! Arguments of the stand-ins and tools.

use crate::{
    engine::{EngineOptions, batch::BatchTimes},
    fault::{ProxyOptions, ProxyTransport},
    platform::PlatformOptions,
    service::ServiceOptions,
    weights::WeightOptions,
};
use bpaf::{Args, Bpaf, ParseFailure};
use eyre::{Result, bail};
use std::{net::SocketAddr, path::PathBuf, process::ExitCode, time::Duration};

/// Width of help texts.
const HELP_WIDTH: usize = 100;

/// Stand-ins for the systems around plantainroute, and tools that use them.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, generate(standin_command))]
pub enum StandinCommand {
    /// The platform: versioned objects, watches and the host list
    #[bpaf(command("platform"))]
    Platform(#[bpaf(external(platform_arguments))] PlatformArguments),
    /// A model engine
    #[bpaf(command("engine"))]
    Engine(#[bpaf(external(engine_arguments))] EngineArguments),
    /// The weight store
    #[bpaf(command("weights"))]
    Weights(#[bpaf(external(weight_arguments))] WeightArguments),
    /// A plain service
    #[bpaf(command("service"))]
    Service(#[bpaf(external(service_arguments))] ServiceArguments),
    /// A proxy that injects faults
    #[bpaf(command("fault"))]
    Fault(#[bpaf(external(fault_arguments))] FaultArguments),
    /// Starts a small complete system on loopback and sends requests through it
    #[bpaf(command("demo"))]
    Demo(#[bpaf(external(demo_arguments))] DemoArguments),
    /// Measures the time that entry and agent add to a call of the engine
    #[bpaf(command("overhead"))]
    Overhead(#[bpaf(external(overhead_arguments))] OverheadArguments),
    /// Runs a whole system under load and seeded faults, and checks what callers were told
    #[bpaf(command("faults"))]
    Faults(#[bpaf(external(fault_run_arguments))] FaultRunArguments),
    /// Compares routing policies under a workload
    #[bpaf(command("bench"))]
    Bench(#[bpaf(external(bench_arguments))] BenchArguments),
    /// Draws files that bench wrote
    #[bpaf(command("plot"))]
    Plot(#[bpaf(external(plot_arguments))] PlotArguments),
    /// Measures what control costs as adapters and connections grow
    #[bpaf(command("scale"))]
    Scale(#[bpaf(external(scale_arguments))] ScaleArguments),
}

/// Arguments of the platform.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(platform_arguments))]
pub struct PlatformArguments {
    /// Where it listens
    #[bpaf(argument("ADDR"))]
    listen: SocketAddr,
    /// Writes a second (default: 400)
    #[bpaf(long("writes-per-second"), argument("COUNT"), fallback(400))]
    writes_per_second: u32,
    /// Reads a second (default: 2000)
    #[bpaf(long("reads-per-second"), argument("COUNT"), fallback(2_000))]
    reads_per_second: u32,
    /// How far the host list lags, in milliseconds (default: 3000)
    #[bpaf(long("host-lag-ms"), argument("MS"), fallback(3_000))]
    host_lag_ms: u64,
}

impl PlatformArguments {
    /// The stand-in's options.
    pub fn into_options(self) -> PlatformOptions {
        PlatformOptions {
            listen: self.listen,
            writes_per_second: self.writes_per_second,
            reads_per_second: self.reads_per_second,
            host_lag: Duration::from_millis(self.host_lag_ms),
        }
    }
}

/// Arguments of an engine.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(engine_arguments))]
pub struct EngineArguments {
    /// Where it listens
    #[bpaf(argument("ADDR"))]
    listen: SocketAddr,
    /// Adapters held at once (default: 8)
    #[bpaf(long, argument("COUNT"), fallback(8))]
    slots: usize,
    /// Sequences run at once (default: 16)
    #[bpaf(long("batch-limit"), argument("COUNT"), fallback(16))]
    batch_limit: usize,
    /// Time of a step in microseconds (default: 4000)
    #[bpaf(long("step-us"), argument("US"), fallback(4_000))]
    step_us: u64,
    /// Time added to a step by each sequence, in microseconds (default: 100)
    #[bpaf(long("sequence-us"), argument("US"), fallback(100))]
    sequence_us: u64,
    /// Time added to a step by each distinct adapter, in microseconds (default: 300)
    #[bpaf(long("adapter-us"), argument("US"), fallback(300))]
    adapter_us: u64,
    /// Time added to a step by each prompt token to prefill, in microseconds (default: 10)
    #[bpaf(long("prompt-us"), argument("US"), fallback(10))]
    prompt_us: u64,
    /// Prompt prefixes kept (default: 32)
    #[bpaf(long("prefix-cache"), argument("COUNT"), fallback(32))]
    prefix_cache: usize,
    /// How far the load report lags, in milliseconds (default: 200)
    #[bpaf(long("report-lag-ms"), argument("MS"), fallback(200))]
    report_lag_ms: u64,
    /// Refuses orders with an old fencing number
    #[bpaf(long("check-fencing"), switch)]
    check_fencing: bool,
}

impl EngineArguments {
    /// The stand-in's options.
    pub fn into_options(self) -> EngineOptions {
        EngineOptions {
            listen: self.listen,
            slots: self.slots,
            batch_limit: self.batch_limit,
            times: BatchTimes {
                step: Duration::from_micros(self.step_us),
                per_sequence: Duration::from_micros(self.sequence_us),
                per_adapter: Duration::from_micros(self.adapter_us),
                per_prompt_token: Duration::from_micros(self.prompt_us),
                prefix_cache: self.prefix_cache,
            },
            check_fencing: self.check_fencing,
            report_lag: Duration::from_millis(self.report_lag_ms.max(1)),
        }
    }
}

/// Arguments of the weight store.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(weight_arguments))]
pub struct WeightArguments {
    /// Where it listens
    #[bpaf(argument("ADDR"))]
    listen: SocketAddr,
    /// Loads that may begin in a second (default: 4)
    #[bpaf(long, argument("RATE"), fallback(4.0))]
    rate: f64,
    /// Loads at full speed at once (default: 3)
    #[bpaf(long("full-speed"), argument("COUNT"), fallback(3))]
    full_speed: u32,
    /// Time of a load at full speed in milliseconds (default: 500)
    #[bpaf(long("load-ms"), argument("MS"), fallback(500))]
    load_ms: u64,
}

impl WeightArguments {
    /// The stand-in's options.
    pub fn into_options(self) -> WeightOptions {
        WeightOptions {
            listen: self.listen,
            rate: self.rate,
            full_speed: self.full_speed.max(1),
            load_time: Duration::from_millis(self.load_ms),
        }
    }
}

/// Arguments of a plain service.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(service_arguments))]
pub struct ServiceArguments {
    /// Where it listens
    #[bpaf(argument("ADDR"))]
    listen: SocketAddr,
    /// Time of a call in milliseconds (default: 5)
    #[bpaf(long("call-ms"), argument("MS"), fallback(5))]
    call_ms: u64,
}

impl ServiceArguments {
    /// The stand-in's options.
    pub fn into_options(self) -> ServiceOptions {
        ServiceOptions { listen: self.listen, call_time: Duration::from_millis(self.call_ms) }
    }
}

/// Arguments of a proxy.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(fault_arguments))]
pub struct FaultArguments {
    /// What it carries: tcp or udp
    #[bpaf(argument("KIND"))]
    transport: String,
    /// Where it listens
    #[bpaf(argument("ADDR"))]
    listen: SocketAddr,
    /// Where it sends on
    #[bpaf(argument("ADDR"))]
    upstream: SocketAddr,
    /// Where it takes faults
    #[bpaf(argument("ADDR"))]
    control: SocketAddr,
}

impl FaultArguments {
    /// The proxy's options.
    pub fn into_options(self) -> Result<ProxyOptions> {
        let transport = match self.transport.as_str() {
            "tcp" => ProxyTransport::Tcp,
            "udp" => ProxyTransport::Udp,
            other => bail!("--transport: `{other}` is not tcp or udp"),
        };
        let Self { listen, upstream, control, .. } = self;
        Ok(ProxyOptions { transport, listen, upstream, control })
    }
}

/// Arguments of the demo.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(demo_arguments))]
pub struct DemoArguments {
    /// Stops the system gracefully after the requests; exit status 0 only if each answer was whole
    /// and right
    #[bpaf(switch)]
    pub once: bool,
}

/// Arguments of the overhead measurement.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(overhead_arguments))]
pub struct OverheadArguments {
    /// Writes the figures to a file
    #[bpaf(argument("FILE"))]
    pub json: Option<PathBuf>,
    /// Rates to measure at, in requests a second (default: 1, 100 and 500)
    #[bpaf(long("rate"), argument("RATE"))]
    pub rates: Vec<u32>,
    /// Seconds at each rate (default: 10)
    #[bpaf(argument("SECONDS"), fallback(10.0))]
    pub seconds: f64,
}

/// Arguments of the fault run.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(fault_run_arguments))]
pub struct FaultRunArguments {
    /// Seed of all that is random (default: 1)
    #[bpaf(argument("NUMBER"), fallback(1))]
    pub seed: u64,
    /// Seconds of faults (default: 120)
    #[bpaf(argument("SECONDS"), fallback(120))]
    pub seconds: u64,
    /// Only kinds of faults with this in their name, such as "stop" or "platform"
    #[bpaf(argument("TEXT"))]
    pub only: Option<String>,
    /// Breaks a promise on purpose, to show that the run reports it: answer, eviction, not-run, once
    #[bpaf(long("break"), argument("PROMISE"))]
    pub break_promise: Option<String>,
    /// Writes the outcome to a file
    #[bpaf(argument("FILE"))]
    pub json: Option<PathBuf>,
}

/// Arguments of the policy comparison. What is not given comes from the workload.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(bench_arguments))]
pub struct BenchArguments {
    /// Workload: sripada or acseq
    #[bpaf(argument("NAME"), fallback("sripada".into()))]
    pub workload: String,
    /// Policies, joined by commas, or all (default: all)
    #[bpaf(argument("NAMES"), fallback("all".into()))]
    pub policy: String,
    /// Seed of all that is random (default: 1)
    #[bpaf(argument("NUMBER"), fallback(1))]
    pub seed: u64,
    /// Seconds that are counted
    #[bpaf(argument("SECONDS"))]
    pub seconds: Option<u64>,
    /// Seconds before them that are not
    #[bpaf(long("warm-up"), argument("SECONDS"))]
    pub warm_up: Option<u64>,
    /// Adapters
    #[bpaf(argument("COUNT"))]
    pub adapters: Option<usize>,
    /// Exponent of the Zipf distribution of their popularity
    #[bpaf(argument("NUMBER"))]
    pub skew: Option<f64>,
    /// Requests a second
    #[bpaf(argument("RATE"))]
    pub rate: Option<f64>,
    /// Engines
    #[bpaf(argument("COUNT"))]
    pub targets: Option<usize>,
    /// Adapter slots of an engine
    #[bpaf(argument("COUNT"))]
    pub slots: Option<usize>,
    /// Tokens of a prompt
    #[bpaf(long("prompt-tokens"), argument("COUNT"))]
    pub prompt_tokens: Option<u32>,
    /// Tokens of an answer, on average
    #[bpaf(long("answer-tokens"), argument("COUNT"))]
    pub answer_tokens: Option<u32>,
    /// Share of upper-priority requests
    #[bpaf(long("upper-share"), argument("SHARE"))]
    pub upper_share: Option<f64>,
    /// Weight of the load stall in the cost policy
    #[bpaf(long("stall-weight"), argument("NUMBER"))]
    pub stall_weight: Option<f64>,
    /// Weight of the batch in the cost policy
    #[bpaf(long("batch-weight"), argument("NUMBER"))]
    pub batch_weight: Option<f64>,
    /// Second after the warm-up at which a quiet adapter turns into the busiest
    #[bpaf(long("shift-at"), argument("SECONDS"))]
    pub shift_at: Option<u64>,
    /// Writes the figures to a file
    #[bpaf(argument("FILE"))]
    pub json: Option<PathBuf>,
}

/// Arguments of the drawing.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(plot_arguments))]
pub struct PlotArguments {
    /// The SVG file to write
    #[bpaf(argument("FILE"))]
    pub out: PathBuf,
    /// Files that bench wrote with --json
    #[bpaf(positional("FILE"))]
    pub files: Vec<PathBuf>,
}

/// Arguments of the scale measurement.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(scale_arguments))]
pub struct ScaleArguments {
    /// Writes the figures to a file
    #[bpaf(argument("FILE"))]
    pub json: Option<PathBuf>,
}

/// Reads the command line.
pub fn read() -> Result<StandinCommand, ExitCode> {
    standin_command().run_inner(Args::current_args()).map_err(|failure| {
        let is_error = matches!(failure, ParseFailure::Stderr(_));
        failure.print_message(HELP_WIDTH);
        if is_error { ExitCode::from(crate::USAGE_STATUS) } else { ExitCode::SUCCESS }
    })
}
