//! Arguments and environment variables, before they are checked.

use bpaf::{Args, Bpaf, ParseFailure};
use std::{net::SocketAddr, path::PathBuf, process::ExitCode};

/// Width of help texts, in columns.
const HELP_WIDTH: usize = 100;

/// Serves LoRA adapters: `entry` and `router` take callers' requests; `agent` and `loader` run beside
/// one target.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, generate(daemon_arguments))]
pub enum DaemonArguments {
    /// Takes callers' HTTP requests and offers them to agents
    #[bpaf(command("entry"))]
    Entry(#[bpaf(external(entry_arguments))] EntryArguments),
    /// Proxies requests and orders to the one target beside it: an engine or a plain service
    #[bpaf(command("agent"))]
    Agent(#[bpaf(external(agent_arguments))] AgentArguments),
    /// Takes callers' HTTP requests and calls targets directly
    #[bpaf(command("router"))]
    Router(#[bpaf(external(site_arguments))] SiteArguments),
    /// Orders loads and unloads at the one engine beside it
    #[bpaf(command("loader"))]
    Loader(#[bpaf(external(site_arguments))] SiteArguments),
}

/// Arguments of routers and loaders; all other settings are in their settings file.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(site_arguments))]
pub struct SiteArguments {
    /// Settings file, in JSON; read again on SIGHUP and when it changes
    #[bpaf(long, argument("FILE"), env("PLANTAIN_SETTINGS"))]
    pub settings: PathBuf,
    /// Address for /metrics, /status, /healthz and /readyz
    #[bpaf(long, argument("ADDR"), env("PLANTAIN_METRICS"))]
    pub metrics: SocketAddr,
    /// Least important log lines to write: error, warning, info or debug (default: info)
    #[bpaf(
        long("log-level"),
        argument("LEVEL"),
        env("PLANTAIN_LOG_LEVEL"),
        fallback("info".into())
    )]
    pub log_level: String,
    /// Checks the settings and exits
    #[bpaf(long, switch)]
    pub check: bool,
}

/// Arguments that entries and agents have in common.
#[derive(Clone, Debug, Bpaf)]
pub struct CommonArguments {
    /// Name of this process; for an agent, of its target and host
    #[bpaf(long, argument("NAME"), env("PLANTAIN_NAME"))]
    pub name: String,
    /// Region of this host
    #[bpaf(long, argument("REGION"), env("PLANTAIN_REGION"))]
    pub region: String,
    /// Availability zone of this host
    #[bpaf(long, argument("ZONE"), env("PLANTAIN_ZONE"))]
    pub zone: String,
    /// Address of the platform's object API
    #[bpaf(long, argument("ADDR"), env("PLANTAIN_PLATFORM"))]
    pub platform: SocketAddr,
    /// Address for /metrics, /status, /healthz and /readyz
    #[bpaf(long, argument("ADDR"), env("PLANTAIN_ADMIN"))]
    pub admin: SocketAddr,
    /// Key of the links between processes: 64 hexadecimal digits; better set by
    /// environment variable, where other users of the host cannot read it
    #[bpaf(long("peer-key"), argument("HEX"), env("PLANTAIN_PEER_KEY"))]
    pub peer_key: String,
    /// A further key that peers may use, while keys are being changed
    #[bpaf(long("accept-key"), argument("HEX"), env("PLANTAIN_ACCEPT_KEY"))]
    pub accept_key: Option<String>,
    /// Least important log lines to write: error, warning, info or debug (default: info)
    #[bpaf(
        long("log-level"),
        argument("LEVEL"),
        env("PLANTAIN_LOG_LEVEL"),
        fallback("info".into())
    )]
    pub log_level: String,
    /// Prints the settings in force, with secrets hidden, and exits
    #[bpaf(long, switch)]
    pub check: bool,
}

/// Arguments of an entry.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(entry_arguments))]
pub struct EntryArguments {
    /// Arguments that entries and agents have in common.
    #[bpaf(external(common_arguments))]
    pub common: CommonArguments,
    /// Address for callers
    #[bpaf(long, argument("ADDR"), env("PLANTAIN_LISTEN"))]
    pub listen: SocketAddr,
    /// Address for agents (UDP) that request load permits from this entry
    #[bpaf(long("peer-listen"), argument("ADDR"), env("PLANTAIN_PEER_LISTEN"))]
    pub peer_listen: SocketAddr,
    /// Peer address of another entry, from which this one gets its state if the platform is unavailable
    /// at the start; may be given several times, best for entries in different zones
    #[bpaf(long, argument("ADDR"))]
    pub peer: Vec<SocketAddr>,
    /// Loads per second that the weight store allows (default: 4)
    #[bpaf(long("store-rate"), argument("RATE"), env("PLANTAIN_STORE_RATE"))]
    pub store_rate: Option<f64>,
    /// Concurrent loads that the weight store serves at full speed (default: 3)
    #[bpaf(long("store-loads"), argument("COUNT"), env("PLANTAIN_STORE_LOADS"))]
    pub store_loads: Option<usize>,
    /// Order in which waiting loads get permits: fifo or urgency (default: urgency)
    #[bpaf(long("load-order"), argument("ORDER"), env("PLANTAIN_LOAD_ORDER"), fallback("urgency".into()))]
    pub load_order: String,
    /// How targets are chosen: random, least-outstanding, hash or cost (default: cost)
    #[bpaf(long, argument("POLICY"), env("PLANTAIN_POLICY"), fallback("cost".into()))]
    pub policy: String,
    /// Largest body of a request, in bytes (default: 8388608)
    #[bpaf(long("body-limit"), argument("BYTES"), env("PLANTAIN_BODY_LIMIT"))]
    pub body_limit: Option<usize>,
    /// Largest number of open connections (default: 4096)
    #[bpaf(long, argument("COUNT"), env("PLANTAIN_CONNECTIONS"))]
    pub connections: Option<usize>,
    /// Largest number of concurrent requests (default: 2048)
    #[bpaf(long, argument("COUNT"), env("PLANTAIN_REQUESTS"))]
    pub requests: Option<usize>,
    /// Memory that the process may take, in MB (default: 256)
    #[bpaf(long("memory-mb"), argument("MB"), env("PLANTAIN_MEMORY_MB"))]
    pub memory_mb: Option<usize>,
}

/// Arguments of an agent.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(agent_arguments))]
pub struct AgentArguments {
    /// Arguments that entries and agents have in common.
    #[bpaf(external(common_arguments))]
    pub common: CommonArguments,
    /// Address for entries (UDP); its port is the slot's and does not change
    #[bpaf(long, argument("ADDR"), env("PLANTAIN_LISTEN"))]
    pub listen: SocketAddr,
    /// Address at which entries reach the slot, if it differs from --listen
    #[bpaf(long, argument("ADDR"), env("PLANTAIN_ANNOUNCE"))]
    pub announce: Option<SocketAddr>,
    /// Address of the target's HTTP API
    #[bpaf(long, argument("ADDR"), env("PLANTAIN_TARGET"))]
    pub target: SocketAddr,
    /// Base model, if the target is an engine
    #[bpaf(long, argument("NAME"), env("PLANTAIN_BASE"))]
    pub base: Option<String>,
    /// Service name, if the target is a plain service
    #[bpaf(long, argument("NAME"), env("PLANTAIN_SERVICE"))]
    pub service: Option<String>,
    /// Address of the weight store; required for an engine
    #[bpaf(long("weight-store"), argument("ADDR"), env("PLANTAIN_WEIGHT_STORE"))]
    pub weight_store: Option<SocketAddr>,
    /// Largest number of adapters that the engine holds (default: 8)
    #[bpaf(long, argument("COUNT"), env("PLANTAIN_SLOTS"))]
    pub slots: Option<usize>,
    /// Largest number of requests that the target runs concurrently (default: 16)
    #[bpaf(long("batch-limit"), argument("COUNT"), env("PLANTAIN_BATCH_LIMIT"))]
    pub batch_limit: Option<u32>,
    /// Largest number of loads that the engine performs concurrently (default: 2)
    #[bpaf(long("load-limit"), argument("COUNT"), env("PLANTAIN_LOAD_LIMIT"))]
    pub load_limit: Option<usize>,
    /// Loads per second that this agent may order while no entry grants permits (default: 0.3)
    #[bpaf(long("load-rate"), argument("RATE"), env("PLANTAIN_LOAD_RATE"))]
    pub load_rate: Option<f64>,
    /// Which adapter is evicted when all slots are used: lru or worth (default: worth)
    #[bpaf(long, argument("POLICY"), env("PLANTAIN_EVICTION"), fallback("worth".into()))]
    pub eviction: String,
    /// The engine refuses orders with an old fencing number; without this flag, an agent that replaces
    /// one on another host waits for the time of a lease before its first order
    #[bpaf(long("engine-checks-fencing"), switch)]
    pub engine_checks_fencing: bool,
}

impl DaemonArguments {
    /// Reads the command line. On an error, one line goes to stderr and the exit status is 2.
    pub fn read() -> Result<Self, ExitCode> {
        daemon_arguments().run_inner(Args::current_args()).map_err(|failure| match failure {
            ParseFailure::Stderr(text) => {
                let text = text.monochrome(true);
                let line = text.split_whitespace().collect::<Vec<_>>().join(" ");
                eprintln!("plantaind: {line}");
                ExitCode::from(crate::USAGE_STATUS)
            }
            other => {
                other.print_message(HELP_WIDTH);
                ExitCode::SUCCESS
            }
        })
    }

    /// Whether `--check` is given: check the settings and exit.
    pub fn is_check(&self) -> bool {
        match self {
            Self::Entry(arguments) => arguments.common.check,
            Self::Agent(arguments) => arguments.common.check,
            Self::Router(arguments) | Self::Loader(arguments) => arguments.check,
        }
    }
}
