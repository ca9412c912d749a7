//! Command-line arguments of the stand-ins and tools.

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

/// Line width of help texts, in characters.
const HELP_WIDTH: usize = 100;

/// Stand-ins for the systems around plantainroute, and tools that use them.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, generate(standin_command))]
pub enum StandinCommand {
    /// Runs a stand-in for the platform: versioned objects, watches and the host list
    #[bpaf(command("platform"))]
    Platform(#[bpaf(external(platform_arguments))] PlatformArguments),
    /// Runs a stand-in for an inference engine
    #[bpaf(command("engine"))]
    Engine(#[bpaf(external(engine_arguments))] EngineArguments),
    /// Runs a stand-in for the weight store
    #[bpaf(command("weights"))]
    Weights(#[bpaf(external(weight_arguments))] WeightArguments),
    /// Runs a stand-in for a plain service
    #[bpaf(command("service"))]
    Service(#[bpaf(external(service_arguments))] ServiceArguments),
    /// Runs a proxy that injects network faults
    #[bpaf(command("fault"))]
    Fault(#[bpaf(external(fault_arguments))] FaultArguments),
    /// Starts a small test cluster on loopback and sends requests through it
    #[bpaf(command("demo"))]
    Demo(#[bpaf(external(demo_arguments))] DemoArguments),
    /// Measures the latency that entry and agent add to an engine call
    #[bpaf(command("overhead"))]
    Overhead(#[bpaf(external(overhead_arguments))] OverheadArguments),
    /// Runs a test cluster under load with seeded faults and checks the guarantees to callers
    #[bpaf(command("faults"))]
    Faults(#[bpaf(external(fault_run_arguments))] FaultRunArguments),
    /// Compares routing policies under a workload
    #[bpaf(command("bench"))]
    Bench(#[bpaf(external(bench_arguments))] BenchArguments),
    /// Plots result files of bench as an SVG
    #[bpaf(command("plot"))]
    Plot(#[bpaf(external(plot_arguments))] PlotArguments),
    /// Measures control-plane cost at growing numbers of adapters and connections
    #[bpaf(command("scale"))]
    Scale(#[bpaf(external(scale_arguments))] ScaleArguments),
}

/// Arguments of the platform stand-in.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(platform_arguments))]
pub struct PlatformArguments {
    /// Listen address
    #[bpaf(argument("ADDR"))]
    listen: SocketAddr,
    /// Limit of writes per second (default: 400)
    #[bpaf(long("writes-per-second"), argument("COUNT"), fallback(400))]
    writes_per_second: u32,
    /// Limit of reads per second, watches included (default: 2000)
    #[bpaf(long("reads-per-second"), argument("COUNT"), fallback(2_000))]
    reads_per_second: u32,
    /// Delay of changes to the host list, in milliseconds (default: 3000)
    #[bpaf(long("host-lag-ms"), argument("MS"), fallback(3_000))]
    host_lag_ms: u64,
}

impl PlatformArguments {
    /// Converts the arguments into options of the stand-in.
    pub fn into_options(self) -> PlatformOptions {
        PlatformOptions {
            listen: self.listen,
            writes_per_second: self.writes_per_second,
            reads_per_second: self.reads_per_second,
            host_lag: Duration::from_millis(self.host_lag_ms),
        }
    }
}

/// Arguments of the engine stand-in.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(engine_arguments))]
pub struct EngineArguments {
    /// Listen address
    #[bpaf(argument("ADDR"))]
    listen: SocketAddr,
    /// Adapter slots (default: 8)
    #[bpaf(long, argument("COUNT"), fallback(8))]
    slots: usize,
    /// Largest batch, in sequences (default: 16)
    #[bpaf(long("batch-limit"), argument("COUNT"), fallback(16))]
    batch_limit: usize,
    /// Base time of a batch step, in microseconds (default: 4000)
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
    /// Capacity of the prefix cache, in prompt prefixes (default: 32)
    #[bpaf(long("prefix-cache"), argument("COUNT"), fallback(32))]
    prefix_cache: usize,
    /// Interval at which /metrics is refreshed, in milliseconds (default: 200)
    #[bpaf(long("report-lag-ms"), argument("MS"), fallback(200))]
    report_lag_ms: u64,
    /// Refuses orders with an outdated fencing number
    #[bpaf(long("check-fencing"), switch)]
    check_fencing: bool,
}

impl EngineArguments {
    /// Converts the arguments into options of the stand-in.
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

/// Arguments of the weight store stand-in.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(weight_arguments))]
pub struct WeightArguments {
    /// Listen address
    #[bpaf(argument("ADDR"))]
    listen: SocketAddr,
    /// Loads that may start per second (default: 4)
    #[bpaf(long, argument("RATE"), fallback(4.0))]
    rate: f64,
    /// Concurrent loads that run at full speed (default: 3)
    #[bpaf(long("full-speed"), argument("COUNT"), fallback(3))]
    full_speed: u32,
    /// Duration of a load at full speed, in milliseconds (default: 500)
    #[bpaf(long("load-ms"), argument("MS"), fallback(500))]
    load_ms: u64,
}

impl WeightArguments {
    /// Converts the arguments into options of the stand-in.
    pub fn into_options(self) -> WeightOptions {
        WeightOptions {
            listen: self.listen,
            rate: self.rate,
            full_speed: self.full_speed.max(1),
            load_time: Duration::from_millis(self.load_ms),
        }
    }
}

/// Arguments of the service stand-in.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(service_arguments))]
pub struct ServiceArguments {
    /// Listen address
    #[bpaf(argument("ADDR"))]
    listen: SocketAddr,
    /// Processing time of a call, in milliseconds (default: 5)
    #[bpaf(long("call-ms"), argument("MS"), fallback(5))]
    call_ms: u64,
}

impl ServiceArguments {
    /// Converts the arguments into options of the stand-in.
    pub fn into_options(self) -> ServiceOptions {
        ServiceOptions { listen: self.listen, call_time: Duration::from_millis(self.call_ms) }
    }
}

/// Arguments of the fault proxy.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(fault_arguments))]
pub struct FaultArguments {
    /// Transport protocol: tcp or udp
    #[bpaf(argument("KIND"))]
    transport: String,
    /// Listen address
    #[bpaf(argument("ADDR"))]
    listen: SocketAddr,
    /// Address to forward to
    #[bpaf(argument("ADDR"))]
    upstream: SocketAddr,
    /// Listen address of the control API, which sets the faults
    #[bpaf(argument("ADDR"))]
    control: SocketAddr,
}

impl FaultArguments {
    /// Converts the arguments into options of the proxy; fails on an unknown transport.
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
    /// Stops the cluster gracefully after the requests; the exit status is 0 only if all answers
    /// were complete and correct
    #[bpaf(switch)]
    pub once: bool,
}

/// Arguments of the overhead measurement.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(overhead_arguments))]
pub struct OverheadArguments {
    /// Writes the results to a JSON file
    #[bpaf(argument("FILE"))]
    pub json: Option<PathBuf>,
    /// Rate to measure at, in requests per second; repeatable (default: 1, 100 and 500)
    #[bpaf(long("rate"), argument("RATE"))]
    pub rates: Vec<u32>,
    /// Duration of the measurement at each rate, in seconds (default: 10)
    #[bpaf(argument("SECONDS"), fallback(10.0))]
    pub seconds: f64,
}

/// Arguments of the fault run.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(fault_run_arguments))]
pub struct FaultRunArguments {
    /// Seed of the random number generators (default: 1)
    #[bpaf(argument("NUMBER"), fallback(1))]
    pub seed: u64,
    /// Time during which faults are injected, in seconds (default: 120)
    #[bpaf(argument("SECONDS"), fallback(120))]
    pub seconds: u64,
    /// Injects only faults with this text in their name, such as "stop" or "platform"
    #[bpaf(argument("TEXT"))]
    pub only: Option<String>,
    /// Violates a guarantee on purpose, to test that the run detects it: answer, eviction, not-run
    /// or once
    #[bpaf(long("break"), argument("PROMISE"))]
    pub violated_guarantee: Option<String>,
    /// Writes the report to a JSON file
    #[bpaf(argument("FILE"))]
    pub json: Option<PathBuf>,
}

/// Arguments of the policy comparison. Options that are not set are taken from the workload.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(bench_arguments))]
pub struct BenchArguments {
    /// Workload: sripada or acseq
    #[bpaf(argument("NAME"), fallback("sripada".into()))]
    pub workload: String,
    /// Policies, separated by commas, or all (default: all)
    #[bpaf(argument("NAMES"), fallback("all".into()))]
    pub policy: String,
    /// Seed of the random number generator (default: 1)
    #[bpaf(argument("NUMBER"), fallback(1))]
    pub seed: u64,
    /// Duration of the measurement, in seconds
    #[bpaf(argument("SECONDS"))]
    pub seconds: Option<u64>,
    /// Duration of the warm-up before the measurement, in seconds
    #[bpaf(long("warm-up"), argument("SECONDS"))]
    pub warm_up: Option<u64>,
    /// Number of adapters
    #[bpaf(argument("COUNT"))]
    pub adapters: Option<usize>,
    /// Exponent of the Zipf distribution of the adapters' popularity
    #[bpaf(argument("NUMBER"))]
    pub skew: Option<f64>,
    /// Requests per second
    #[bpaf(argument("RATE"))]
    pub rate: Option<f64>,
    /// Number of engines
    #[bpaf(argument("COUNT"))]
    pub targets: Option<usize>,
    /// Adapter slots per engine
    #[bpaf(argument("COUNT"))]
    pub slots: Option<usize>,
    /// Tokens per prompt
    #[bpaf(long("prompt-tokens"), argument("COUNT"))]
    pub prompt_tokens: Option<u32>,
    /// Mean number of tokens per answer
    #[bpaf(long("answer-tokens"), argument("COUNT"))]
    pub answer_tokens: Option<u32>,
    /// Share of upper-priority requests, from 0 to 1
    #[bpaf(long("upper-share"), argument("SHARE"))]
    pub upper_share: Option<f64>,
    /// Weight of load stalls in the cost policy
    #[bpaf(long("stall-weight"), argument("NUMBER"))]
    pub stall_weight: Option<f64>,
    /// Weight of filling batches in the cost policy
    #[bpaf(long("batch-weight"), argument("NUMBER"))]
    pub batch_weight: Option<f64>,
    /// Time after the warm-up at which an unpopular adapter becomes the most popular one, in
    /// seconds
    #[bpaf(long("shift-at"), argument("SECONDS"))]
    pub shift_at: Option<u64>,
    /// Writes the results to a JSON file
    #[bpaf(argument("FILE"))]
    pub json: Option<PathBuf>,
}

/// Arguments of the plot.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(plot_arguments))]
pub struct PlotArguments {
    /// SVG file to write
    #[bpaf(argument("FILE"))]
    pub out: PathBuf,
    /// Result files written by bench with --json
    #[bpaf(positional("FILE"))]
    pub files: Vec<PathBuf>,
}

/// Arguments of the scale measurement.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(scale_arguments))]
pub struct ScaleArguments {
    /// Writes the results to a JSON file
    #[bpaf(argument("FILE"))]
    pub json: Option<PathBuf>,
}

/// Parses the command line; on `--help` or an error, prints the text and returns the exit status.
pub fn read() -> Result<StandinCommand, ExitCode> {
    standin_command().run_inner(Args::current_args()).map_err(|failure| {
        let is_error = matches!(failure, ParseFailure::Stderr(_));
        failure.print_message(HELP_WIDTH);
        if is_error { ExitCode::from(crate::USAGE_STATUS) } else { ExitCode::SUCCESS }
    })
}
