//! The command line, as written.

use bpaf::{Args, Bpaf, ParseFailure};
use std::{net::SocketAddr, path::PathBuf, process::ExitCode};

/// Width of help texts.
const HELP_WIDTH: usize = 100;

/// Changes and shows the configuration of plantainroute.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, generate(control_arguments))]
pub struct ControlArguments {
    /// Address of the platform's object API; not needed for losses and customers
    #[bpaf(long, argument("ADDR"), env("PLANTAIN_PLATFORM"))]
    pub platform: Option<SocketAddr>,
    /// Prints JSON in place of tables
    #[bpaf(long, switch)]
    pub json: bool,
    /// Who makes the change, shown to whoever loses a race against it
    #[bpaf(long, argument("NAME"), env("USER"), fallback("unknown".into()))]
    pub author: String,
    /// Waits so many seconds until a change is in force everywhere, and names those behind
    #[bpaf(long, argument("SECONDS"))]
    pub wait: Option<f64>,
    /// What to do.
    #[bpaf(external(control_command))]
    pub command: ControlCommand,
}

/// Commands.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(control_command))]
pub enum ControlCommand {
    /// Adapters and their versions
    #[bpaf(command("adapter"))]
    Adapter(#[bpaf(external(adapter_command))] AdapterCommand),
    /// Callers and their keys
    #[bpaf(command("caller"))]
    Caller(#[bpaf(external(caller_command))] CallerCommand),
    /// Plain services and their routes
    #[bpaf(command("service"))]
    Service(#[bpaf(external(service_command))] ServiceCommand),
    /// Presets, and which of them is in force
    #[bpaf(command("preset"))]
    Preset(#[bpaf(external(preset_command))] PresetCommand),
    /// Shows how fast each class of requests uses up its error budget
    #[bpaf(command("report"))]
    Report {
        /// Writes the report as one HTML page too
        #[bpaf(argument("FILE"))]
        html: Option<PathBuf>,
    },
    /// Sums up from routers' logs where calls were late or lost, and why
    #[bpaf(command("losses"))]
    Losses {
        /// Logs; standard input if there are none
        #[bpaf(positional("FILE"), many)]
        files: Vec<PathBuf>,
    },
    /// Shows what customers use of their limits, from routers' metrics pages
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

/// What to do with adapters.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(adapter_command))]
pub enum AdapterCommand {
    /// Adds an adapter, or versions to one that exists
    #[bpaf(command("add"))]
    Add {
        /// Base model that it extends
        #[bpaf(long, argument("NAME"))]
        base: String,
        /// Versions, such as 1,2,3
        #[bpaf(long, argument("LIST"))]
        versions: String,
        /// Version used when a request names none (default: the highest)
        #[bpaf(long, argument("VERSION"))]
        current: Option<u32>,
        /// Requests must never run twice
        #[bpaf(long("non-idempotent"), switch)]
        non_idempotent: bool,
        /// Name of the adapter
        #[bpaf(positional("ADAPTER"))]
        name: String,
    },
    /// Adds all adapters of a file: one JSON object a line, such as
    /// {"name":"house-0042","base":"scribe","versions":[1,2],"current":2}
    #[bpaf(command("import"))]
    Import {
        /// The file, or - for standard input
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Makes a version the one used when a request names none
    #[bpaf(command("roll-out"))]
    RollOut {
        /// Name of the adapter
        #[bpaf(positional("ADAPTER"))]
        name: String,
        /// The version
        #[bpaf(positional("VERSION"))]
        version: u32,
    },
    /// Removes one version, or the whole adapter
    #[bpaf(command("retire"))]
    Retire {
        /// Only this version
        #[bpaf(long, argument("VERSION"))]
        version: Option<u32>,
        /// Name of the adapter
        #[bpaf(positional("ADAPTER"))]
        name: String,
    },
    /// Lists adapters
    #[bpaf(command("list"))]
    List {
        /// Only those whose names start so
        #[bpaf(long, argument("TEXT"), fallback(String::new()))]
        prefix: String,
    },
}

/// What to do with callers.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(caller_command))]
pub enum CallerCommand {
    /// Adds or replaces a caller; its key comes from a file or standard input, never the command
    /// line, and only its hash is kept
    #[bpaf(command("put"))]
    Put {
        /// File with the key, or - for standard input
        #[bpaf(long("key-file"), argument("FILE"))]
        key_file: PathBuf,
        /// Weight against other callers when targets are full (default: 1)
        #[bpaf(long, argument("NUMBER"), fallback(1))]
        share: u32,
        /// Most important priority that it may ask for (default: upper)
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

/// What to do with services.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(service_command))]
pub enum ServiceCommand {
    /// Adds or replaces a service
    #[bpaf(command("put"))]
    Put {
        /// A rule, such as "POST /stamps once" or "* /search repeat"; the first that matches
        /// counts, and without one GET, HEAD, OPTIONS, PUT and DELETE may be repeated
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

/// What to do with presets.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(preset_command))]
pub enum PresetCommand {
    /// Adds a preset, or changes the given settings of one that exists
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
    /// Weight of the expected load stall in the choice of a target
    #[bpaf(long("stall-weight"), argument("NUMBER"))]
    pub stall_weight: Option<f64>,
    /// Weight of filling batches in the choice of a target
    #[bpaf(long("batch-weight"), argument("NUMBER"))]
    pub batch_weight: Option<f64>,
    /// Requests that may wait at one target
    #[bpaf(long("queue-limit"), argument("COUNT"))]
    pub queue_limit: Option<u32>,
    /// Deadline of a request that names none, in milliseconds
    #[bpaf(long("deadline-ms"), argument("MS"))]
    pub deadline_ms: Option<u64>,
    /// Retries allowed for each answered request
    #[bpaf(long("retry-ratio"), argument("NUMBER"))]
    pub retry_ratio: Option<f64>,
    /// Objective: share of requests that are answered whole
    #[bpaf(argument("SHARE"))]
    pub availability: Option<f64>,
    /// Objective: time to the first byte for 95 in 100, in milliseconds
    #[bpaf(long("first-byte-ms"), argument("MS"))]
    pub first_byte_ms: Option<u64>,
    /// Objective: load stall for 95 in 100, in milliseconds
    #[bpaf(long("load-stall-ms"), argument("MS"))]
    pub load_stall_ms: Option<u64>,
    /// Least important priority that is admitted
    #[bpaf(long("lowest-priority"), argument("PRIORITY"))]
    pub lowest_priority: Option<String>,
    /// Name of the preset
    #[bpaf(positional("PRESET"))]
    pub name: String,
}

impl ControlArguments {
    /// Reads the command line. On an error, one line goes to stderr and the exit status is 2.
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
