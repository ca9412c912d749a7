//! Definition of the command line.

use bpaf::{Args, Bpaf, ParseFailure};
use std::{net::SocketAddr, path::PathBuf, process::ExitCode};

/// Width of help texts, in columns.
const HELP_WIDTH: usize = 100;

/// Changes and shows the configuration of plantainroute.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, generate(control_arguments))]
pub struct ControlArguments {
    /// Address of the platform's object API; not needed for losses and customers
    #[bpaf(long, argument("ADDR"), env("PLANTAIN_PLATFORM"))]
    pub platform: Option<SocketAddr>,
    /// Prints JSON instead of tables
    #[bpaf(long, switch)]
    pub json: bool,
    /// Author recorded with a change; shown to operators whose concurrent change fails
    #[bpaf(long, argument("NAME"), env("USER"), fallback("unknown".into()))]
    pub author: String,
    /// Waits up to this many seconds until a change is in force everywhere; on timeout, names the processes without it
    #[bpaf(long, argument("SECONDS"))]
    pub wait: Option<f64>,
    /// The command.
    #[bpaf(external(control_command))]
    pub command: ControlCommand,
}

/// Commands.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(control_command))]
pub enum ControlCommand {
    /// Manages adapters and their versions
    #[bpaf(command("adapter"))]
    Adapter(#[bpaf(external(adapter_command))] AdapterCommand),
    /// Manages callers and their keys
    #[bpaf(command("caller"))]
    Caller(#[bpaf(external(caller_command))] CallerCommand),
    /// Manages plain services and their routes
    #[bpaf(command("service"))]
    Service(#[bpaf(external(service_command))] ServiceCommand),
    /// Manages presets and selects the one in force
    #[bpaf(command("preset"))]
    Preset(#[bpaf(external(preset_command))] PresetCommand),
    /// Shows the error budget burn rate of each class of requests
    #[bpaf(command("report"))]
    Report {
        /// Also writes the report as an HTML page
        #[bpaf(argument("FILE"))]
        html: Option<PathBuf>,
    },
    /// Counts late and lost calls by cause, from routers' logs
    #[bpaf(command("losses"))]
    Losses {
        /// Log files; standard input if none are given
        #[bpaf(positional("FILE"), many)]
        files: Vec<PathBuf>,
    },
    /// Shows customers' usage of their limits, from routers' metrics pages
    #[bpaf(command("customers"))]
    Customers {
        /// Metrics addresses of routers
        #[bpaf(positional("ADDR"), some("expected the metrics address of a router"))]
        routers: Vec<SocketAddr>,
    },
    /// Shows the configuration in force, the processes and what they report
    #[bpaf(command("status"))]
    Status,
}

/// Commands on adapters.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(adapter_command))]
pub enum AdapterCommand {
    /// Adds an adapter, or adds versions to an existing one
    #[bpaf(command("add"))]
    Add {
        /// Base model of the adapter
        #[bpaf(long, argument("NAME"))]
        base: String,
        /// Comma-separated versions, such as 1,2,3
        #[bpaf(long, argument("LIST"))]
        versions: String,
        /// Version used when a request names none (default: the highest)
        #[bpaf(long, argument("VERSION"))]
        current: Option<u32>,
        /// Marks requests as not idempotent: they must never run twice
        #[bpaf(long("non-idempotent"), switch)]
        non_idempotent: bool,
        /// Name of the adapter
        #[bpaf(positional("ADAPTER"))]
        name: String,
    },
    /// Adds all adapters of a file with one JSON object per line, such as
    /// `{"name":"house-0042","base":"scribe","versions":[1,2],"current":2}`
    #[bpaf(command("import"))]
    Import {
        /// The file, or - for standard input
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Sets the version used when a request names none
    #[bpaf(command("roll-out"))]
    RollOut {
        /// Name of the adapter
        #[bpaf(positional("ADAPTER"))]
        name: String,
        /// The version
        #[bpaf(positional("VERSION"))]
        version: u32,
    },
    /// Removes one version, or an adapter with all its versions
    #[bpaf(command("retire"))]
    Retire {
        /// Removes only this version
        #[bpaf(long, argument("VERSION"))]
        version: Option<u32>,
        /// Name of the adapter
        #[bpaf(positional("ADAPTER"))]
        name: String,
    },
    /// Lists adapters
    #[bpaf(command("list"))]
    List {
        /// Lists only adapters whose names start with this text
        #[bpaf(long, argument("TEXT"), fallback(String::new()))]
        prefix: String,
    },
}

/// Commands on callers.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(caller_command))]
pub enum CallerCommand {
    /// Adds or replaces a caller; its key is read from a file or standard input, never from the
    /// command line, and only its hash is stored
    #[bpaf(command("put"))]
    Put {
        /// File with the key, or - for standard input
        #[bpaf(long("key-file"), argument("FILE"))]
        key_file: PathBuf,
        /// Weight relative to other callers when targets are saturated (default: 1)
        #[bpaf(long, argument("NUMBER"), fallback(1))]
        share: u32,
        /// Highest priority that the caller may request (default: upper)
        #[bpaf(long("highest-priority"), argument("PRIORITY"), fallback("upper".into()))]
        highest_priority: String,
        /// Name of the caller
        #[bpaf(positional("CALLER"))]
        name: String,
    },
    /// Removes a caller
    #[bpaf(command("remove"))]
    Remove {
        /// Name of the caller
        #[bpaf(positional("CALLER"))]
        name: String,
    },
    /// Lists callers
    #[bpaf(command("list"))]
    List,
}

/// Commands on services.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(service_command))]
pub enum ServiceCommand {
    /// Adds or replaces a service
    #[bpaf(command("put"))]
    Put {
        /// A rule, such as "POST /stamps once" or "* /search repeat"; the first matching rule
        /// applies, and if none matches, GET, HEAD, OPTIONS, PUT and DELETE may be retried
        #[bpaf(long("route"), argument("RULE"))]
        routes: Vec<String>,
        /// Name of the service
        #[bpaf(positional("SERVICE"))]
        name: String,
    },
    /// Removes a service
    #[bpaf(command("remove"))]
    Remove {
        /// Name of the service
        #[bpaf(positional("SERVICE"))]
        name: String,
    },
    /// Lists services
    #[bpaf(command("list"))]
    List,
}

/// Commands on presets.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(preset_command))]
pub enum PresetCommand {
    /// Adds a preset, or changes the given settings of an existing one
    #[bpaf(command("put"))]
    Put(#[bpaf(external(preset_fields))] PresetFields),
    /// Removes a preset that is not in force
    #[bpaf(command("remove"))]
    Remove {
        /// Name of the preset
        #[bpaf(positional("PRESET"))]
        name: String,
    },
    /// Shows one preset
    #[bpaf(command("show"))]
    Show {
        /// Name of the preset
        #[bpaf(positional("PRESET"))]
        name: String,
    },
    /// Lists presets
    #[bpaf(command("list"))]
    List,
    /// Puts a preset in force
    #[bpaf(command("switch"))]
    Switch {
        /// Name of the preset
        #[bpaf(positional("PRESET"))]
        name: String,
    },
}

/// Settings of a preset.
#[derive(Clone, Debug, Bpaf)]
pub struct PresetFields {
    /// Weight of the expected load stall when a target is selected
    #[bpaf(long("stall-weight"), argument("NUMBER"))]
    pub stall_weight: Option<f64>,
    /// Weight of batch fill when a target is selected
    #[bpaf(long("batch-weight"), argument("NUMBER"))]
    pub batch_weight: Option<f64>,
    /// Maximum number of requests that wait at one target
    #[bpaf(long("queue-limit"), argument("COUNT"))]
    pub queue_limit: Option<u32>,
    /// Deadline of a request that names none, in milliseconds
    #[bpaf(long("deadline-ms"), argument("MS"))]
    pub deadline_ms: Option<u64>,
    /// Maximum ratio of retries to answered requests
    #[bpaf(long("retry-ratio"), argument("NUMBER"))]
    pub retry_ratio: Option<f64>,
    /// Objective: share of requests that are answered completely
    #[bpaf(argument("SHARE"))]
    pub availability: Option<f64>,
    /// Objective: time to first byte at the 95th percentile, in milliseconds
    #[bpaf(long("first-byte-ms"), argument("MS"))]
    pub first_byte_ms: Option<u64>,
    /// Objective: load stall at the 95th percentile, in milliseconds
    #[bpaf(long("load-stall-ms"), argument("MS"))]
    pub load_stall_ms: Option<u64>,
    /// Lowest priority that is admitted
    #[bpaf(long("lowest-priority"), argument("PRIORITY"))]
    pub lowest_priority: Option<String>,
    /// Name of the preset
    #[bpaf(positional("PRESET"))]
    pub name: String,
}

impl ControlArguments {
    /// Parses the command line. On an error, prints one line to standard error and returns exit status 2.
    pub fn read() -> Result<Self, ExitCode> {
        control_arguments().run_inner(Args::current_args()).map_err(|failure| match failure {
            ParseFailure::Stderr(text) => {
                let text = text.monochrome(true);
                let line = text.split_whitespace().collect::<Vec<_>>().join(" ");
                eprintln!("plantainctl: {line}");
                ExitCode::from(crate::USAGE_STATUS)
            }
            other => {
                other.print_message(HELP_WIDTH);
                ExitCode::SUCCESS
            }
        })
    }
}
